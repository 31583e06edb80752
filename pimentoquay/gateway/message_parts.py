"""Messages to other gateways in parts of bounded size.

Each part is a message of the same type, so a peer of an earlier version applies it like any other.
What tells a receiver that a list is complete, is in the last part only.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, TypeVar

from pimentoquay.kernel.turns import ITEMS_PER_TURN
from pimentoquay.messages import encoded_size
from pimentoquay.messages.fleet import (
    ClearedFeature,
    CrashedRequest,
    CrashEvidence,
    EngineRecord,
    EnginesLeaving,
    FleetCopy,
    LeavingEngine,
    LimitsNamed,
    PeerLoad,
    PeerLoads,
    VmAddress,
)
from pimentoquay.messages.pools import Bundle
from pimentoquay.messages.streams import StreamsBegun, VersionsListed, VersionStreams
from pimentoquay.policy.message_parts import split_by_size
from pimentoquay.policy.stream_origins import KEY_BYTES

__all__ = ["MAX_PART_BYTES", "parts_of", "pieces_of"]

MAX_PART_BYTES = 256 * 1024
"""Maximum size of an encoded part, in bytes, unless a single item is larger."""

HEAD_BYTES = 64
"""Upper bound of what a message needs beside its items, in bytes."""

RECORD_HEAD_BYTES = 20
"""Upper bound of what the record of an engine needs beside its id and value, in bytes."""

KEYS_BYTES = 64 * 1024
"""Size in bytes up to which the keys of the streams of one version stay together."""

PIECE_WEIGHT = 128 * ITEMS_PER_TURN
"""Maximum weight of the items that a receiver applies at once."""

HEAVY_ITEM = 128
"""Weight of a message in a bundle, and of other items that are decoded or logged."""

RECORD_WEIGHT = 16
"""Weight of a record and a load; after each piece, what depends on all of them is made again."""

KEYS_PER_WEIGHT = 2
"""Number of keys of streams that weigh one, as a start of an engine that leaves does; these are
only remembered."""

Item = TypeVar("Item")
Split = Callable[[Iterable[Any]], tuple[tuple[Any, ...], ...]]
Message = TypeVar("Message", EnginesLeaving, LimitsNamed, PeerLoads, Bundle, StreamsBegun)


@dataclass(frozen=True)
class _Configuration:
    """The operators' configuration as an item of a ``FleetCopy``."""

    position: int
    document: bytes


_NO_CONFIGURATION = _Configuration(-1, b"")


def _split_by_bytes(items: Iterable[Item]) -> tuple[tuple[Item, ...], ...]:
    return split_by_size(items, _size_of, MAX_PART_BYTES - HEAD_BYTES)


def _split_by_weight(items: Iterable[Item]) -> tuple[tuple[Item, ...], ...]:
    return split_by_size(items, _weight_of, PIECE_WEIGHT)


def pieces_of(message: Any) -> tuple[Any, ...]:
    """Return messages that are each applied in a short time, and together say the same.

    A message may hold many thousand tiny items. Other connections are served between two pieces.
    """
    return parts_of(message, _split_by_weight)


def _weight_of(item: Any) -> int:
    if isinstance(item, LeavingEngine):
        return 1
    if isinstance(item, EngineRecord | VmAddress | PeerLoad):
        return RECORD_WEIGHT
    if isinstance(item, _Configuration):
        return RECORD_WEIGHT if item.position >= 0 else 0
    if isinstance(item, VersionStreams):
        return HEAVY_ITEM + len(item.keys) // (KEY_BYTES * KEYS_PER_WEIGHT)
    if isinstance(item, tuple):
        return HEAVY_ITEM * len(item)
    return HEAVY_ITEM


def _parts_by(message: Message, items: Iterable[Any], split: Split) -> tuple[Message, ...]:
    """Return messages with a part of the items of one whose only field they are."""
    parts = split(items)
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
def parts_of(message: Any, split: Split = _split_by_bytes) -> tuple[Any, ...]:
    """Return messages of bounded size that together say what a message says, in their order.

    A message of another type than those that grow with the fleet is returned as it is.
    """
    return (message,)


@parts_of.register
def _copy_parts(message: FleetCopy, split: Split = _split_by_bytes) -> tuple[FleetCopy, ...]:
    own = _Configuration(message.configuration_position, message.configuration)
    items: tuple[Any, ...] = (own, *message.vms, *message.engines)
    parts = split(items)
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
def _evidence_parts(
    message: CrashEvidence, split: Split = _split_by_bytes
) -> tuple[CrashEvidence, ...]:
    # What one crash left stays together, and what cleared requests goes first: with a part of it,
    # a sound request would look like the only one at these crashes.
    by_crash: dict[tuple[str, int, int], list[CrashedRequest]] = {}
    for each in message.crashed:
        by_crash.setdefault((each.engine, each.incarnation, each.restarts), []).append(each)
    items: list[Any] = [*message.cleared, *map(tuple, by_crash.values())]
    parts = split(items)
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
def _leaving_parts(
    message: EnginesLeaving, split: Split = _split_by_bytes
) -> tuple[EnginesLeaving, ...]:
    return _parts_by(message, message.engines, split)


@parts_of.register
def _limit_parts(message: LimitsNamed, split: Split = _split_by_bytes) -> tuple[LimitsNamed, ...]:
    return _parts_by(message, message.limits, split)


@parts_of.register
def _load_parts(message: PeerLoads, split: Split = _split_by_bytes) -> tuple[PeerLoads, ...]:
    return _parts_by(message, message.loads, split)


@parts_of.register
def _bundle_parts(message: Bundle, split: Split = _split_by_bytes) -> tuple[Bundle, ...]:
    return _parts_by(message, message.items, split)


@parts_of.register
def _stream_parts(
    message: StreamsBegun, split: Split = _split_by_bytes
) -> tuple[StreamsBegun, ...]:
    length = KEYS_BYTES - KEYS_BYTES % KEY_BYTES
    items = [
        VersionStreams(each.service, each.software, each.keys[start : start + length])
        for each in message.versions
        for start in range(0, len(each.keys), length)
    ]
    return _parts_by(message, items, split)


@parts_of.register
def _version_parts(
    message: VersionsListed, split: Split = _split_by_bytes
) -> tuple[VersionsListed, ...]:
    parts = split(message.versions)
    if len(parts) <= 1:
        return (message,)
    last = len(parts) - 1
    return tuple(
        VersionsListed(part, message.is_complete and number == last)
        for number, part in enumerate(parts)
    )
