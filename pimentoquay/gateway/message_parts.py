"""Messages to other gateways in parts of bounded size.

Each part is a message of the same type, so a peer of an earlier version applies it like any other.
What tells a receiver that a list is complete, is in the last part only.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, TypeVar

from pimentoquay.messages import encoded_size
from pimentoquay.messages.fleet import (
    ClearedFeature,
    CrashedRequest,
    CrashEvidence,
    EngineRecord,
    EnginesLeaving,
    FleetCopy,
    LimitsNamed,
    PeerLoads,
    VmAddress,
)
from pimentoquay.messages.pools import Bundle
from pimentoquay.messages.streams import StreamsBegun, VersionsListed, VersionStreams
from pimentoquay.policy.message_parts import split_by_size
from pimentoquay.policy.stream_origins import KEY_BYTES

__all__ = ["MAX_PART_BYTES", "parts_of"]

MAX_PART_BYTES = 256 * 1024
"""Maximum size of an encoded part, in bytes, unless a single item is larger."""

HEAD_BYTES = 64
"""Upper bound of what a message needs beside its items, in bytes."""

RECORD_HEAD_BYTES = 20
"""Upper bound of what the record of an engine needs beside its id and value, in bytes."""

KEYS_BYTES = 64 * 1024
"""Size in bytes up to which the keys of the streams of one version stay together."""

Item = TypeVar("Item")
Message = TypeVar("Message", EnginesLeaving, LimitsNamed, PeerLoads, Bundle, StreamsBegun)


@dataclass(frozen=True)
class _Configuration:
    """The operators' configuration as an item of a ``FleetCopy``."""

    position: int
    document: bytes


_NO_CONFIGURATION = _Configuration(-1, b"")


def _split(items: Iterable[Item]) -> tuple[tuple[Item, ...], ...]:
    return split_by_size(items, _size_of, MAX_PART_BYTES - HEAD_BYTES)


def _parts_by(message: Message, items: Iterable[Any]) -> tuple[Message, ...]:
    """Return messages with a part of the items of one whose only field they are."""
    parts = _split(items)
    return tuple(type(message)(part) for part in parts) if len(parts) > 1 else (message,)


def _size_of(item: Any) -> int:
    if isinstance(item, EngineRecord):
        return len(item.engine.encode()) + len(item.value) + RECORD_HEAD_BYTES
    if isinstance(item, _Configuration):
        return len(item.document)
    if isinstance(item, bytes):
        return len(item) + 5  # A byte string has a head of up to five bytes at these sizes.
    if isinstance(item, tuple):
        return sum(map(encoded_size, item))
    return encoded_size(item)


@singledispatch
def parts_of(message: Any) -> tuple[Any, ...]:
    """Return messages of bounded size that together say what a message says, in their order.

    A message of another type than those that grow with the fleet is returned as it is.
    """
    return (message,)


@parts_of.register
def _copy_parts(message: FleetCopy) -> tuple[FleetCopy, ...]:
    own = _Configuration(message.configuration_position, message.configuration)
    items: tuple[Any, ...] = (own, *message.vms, *message.engines)
    parts = _split(items)
    if len(parts) == 1:
        return (message,)
    last = len(parts) - 1
    return tuple(
        _copy_of(part, message.engines_position if number == last else -1)
        for number, part in enumerate(parts)
    )


def _copy_of(items: tuple[Any, ...], engines_position: int) -> FleetCopy:
    own = next((each for each in items if isinstance(each, _Configuration)), _NO_CONFIGURATION)
    return FleetCopy(
        own.position,
        own.document,
        tuple(each for each in items if isinstance(each, EngineRecord)),
        engines_position,
        tuple(each for each in items if isinstance(each, VmAddress)),
    )


@parts_of.register
def _evidence_parts(message: CrashEvidence) -> tuple[CrashEvidence, ...]:
    # What one crash left stays together, and what cleared requests goes first: with a part of it,
    # a sound request would look like the only one at these crashes.
    by_crash: dict[tuple[str, int, int], list[CrashedRequest]] = {}
    for each in message.crashed:
        by_crash.setdefault((each.engine, each.incarnation, each.restarts), []).append(each)
    items: list[Any] = [*message.cleared, *map(tuple, by_crash.values())]
    parts = _split(items)
    if len(parts) <= 1:
        return (message,)
    return tuple(
        CrashEvidence(
            tuple(each for item in part if isinstance(item, tuple) for each in item),
            tuple(each for each in part if isinstance(each, ClearedFeature)),
        )
        for part in parts
    )


@parts_of.register
def _leaving_parts(message: EnginesLeaving) -> tuple[EnginesLeaving, ...]:
    return _parts_by(message, message.engines)


@parts_of.register
def _limit_parts(message: LimitsNamed) -> tuple[LimitsNamed, ...]:
    return _parts_by(message, message.limits)


@parts_of.register
def _load_parts(message: PeerLoads) -> tuple[PeerLoads, ...]:
    return _parts_by(message, message.loads)


@parts_of.register
def _bundle_parts(message: Bundle) -> tuple[Bundle, ...]:
    return _parts_by(message, message.items)


@parts_of.register
def _stream_parts(message: StreamsBegun) -> tuple[StreamsBegun, ...]:
    length = KEYS_BYTES - KEYS_BYTES % KEY_BYTES
    items = [
        VersionStreams(each.service, each.software, each.keys[start : start + length])
        for each in message.versions
        for start in range(0, len(each.keys), length)
    ]
    return _parts_by(message, items)


@parts_of.register
def _version_parts(message: VersionsListed) -> tuple[VersionsListed, ...]:
    parts = _split(message.versions)
    if len(parts) <= 1:
        return (message,)
    last = len(parts) - 1
    return tuple(
        VersionsListed(part, message.is_complete and number == last)
        for number, part in enumerate(parts)
    )
