"""Cost of telling a gateway that connects the whole list of engines, and of applying it there."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.message_parts import parts_of
from pimentoquay.kernel import plugin
from pimentoquay.messages import encode
from pimentoquay.messages.fleet import EngineRecord, FleetCopy, VmAddress
from pimentoquay.standin.listed_engines import listed_entry
from pimentoquay.transport.framing import pack, unpack

__all__ = [
    "DESIGN_ENGINES",
    "FIRST_POSITION",
    "FleetCopyCost",
    "GATEWAYS_BY_ENGINES",
    "engine_record",
    "engine_records",
    "fleet_copy_slopes",
    "measure_fleet_copy",
]

DESIGN_ENGINES = 2800
"""Engines of the size that is designed for."""

GATEWAYS_BY_ENGINES = {22: 7, 156: 77, 2800: 195, 10_000: 520}
"""Sizes of deployments that are compared."""

FIRST_POSITION = 1_000_000
"""Position of the first engine's record in the store."""


@dataclass(frozen=True)
class FleetCopyCost:
    """Cost of one copy of the list; processor times are in seconds, sizes in bytes.

    ``sent_bytes`` are those on the channel, after compression. ``largest_message`` is the size of
    the largest message before compression, ``longest_send`` and ``longest_apply`` are the times
    that the longest one takes, in which nothing else is done.
    """

    engines: int
    messages: int
    sent_bytes: int
    largest_message: int
    send_seconds: float
    longest_send: float
    apply_seconds: float
    longest_apply: float


def engine_record(number: int, sequence: int = 1, **more: object) -> EngineRecord:
    """Return the record of an engine that lists eleven models, of about 1.6 kB."""
    value = listed_entry(number, sequence, **more)
    return EngineRecord(f"i-adapter-{number}", FIRST_POSITION + number, value)


def engine_records(count: int) -> tuple[EngineRecord, ...]:
    """Return the records of a fleet."""
    return tuple(map(engine_record, range(count)))


def _addresses(count: int) -> tuple[VmAddress, ...]:
    return tuple(
        VmAddress(f"front-{n}", f"10.0.{n // 250}.{n % 250}:7200", "hall", n, "")
        for n in range(count)
    )


def measure_fleet_copy(
    engines: int, gateways: int, split: Callable[[Any], tuple[Any, ...]] = parts_of
) -> FleetCopyCost:
    """Measure one copy from a gateway that knows all to one that knows nothing.

    Parameters
    ----------
    engines, gateways
        Size of the deployment.
    split
        Divides the copy into messages.
    """
    source, target = Fleet(time.monotonic), Fleet(time.monotonic)
    source.apply_engine_snapshot(engine_records(engines), FIRST_POSITION + engines)
    marks = [time.process_time()]
    copy = replace(source.snapshot(), vms=_addresses(gateways))
    packets = []
    parts = split(copy)
    sending = []
    for part in parts:
        packets.append(pack(part, None))
        marks.append(time.process_time())
        sending.append(marks[-1] - marks[-2])
    applying = []
    for packet in packets:
        started = time.process_time()
        message: FleetCopy = unpack(packet, None)
        target.apply_engine_records(message.engines)
        applying.append(time.process_time() - started)
    if len(target.engines()) != engines:
        raise RuntimeError(f"{len(target.engines())} of {engines} engines arrived")
    return FleetCopyCost(
        engines,
        len(parts),
        sum(map(len, packets)),
        max(len(encode(part)) for part in parts),
        sum(sending),
        max(sending),
        sum(applying),
        max(applying),
    )


@plugin("slope", "fleet-copy")
def fleet_copy_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure what one more engine adds to the copy of the list for a gateway that connects."""
    few, many = sorted(GATEWAYS_BY_ENGINES.items())[1:3]
    pairs = [(measure_fleet_copy(*few), measure_fleet_copy(*many)) for _ in range(repeats)]
    per_engine = 1.0 / (many[0] - few[0])
    first_few, first_many = pairs[0]
    return (
        slope_of(
            "list sent to a gateway that connects",
            "B",
            "engine",
            [(first_many.sent_bytes - first_few.sent_bytes) * per_engine],
        ),
        slope_of(
            "encode list for a gateway that connects",
            "µs",
            "engine",
            [(b.send_seconds - a.send_seconds) * per_engine * 1e6 for a, b in pairs],
        ),
        slope_of(
            "apply list from a peer",
            "µs",
            "engine",
            [(b.apply_seconds - a.apply_seconds) * per_engine * 1e6 for a, b in pairs],
        ),
    )
