"""Copies of records of the store that peers send: what is passed on, and what the sender lacks."""

from dataclasses import dataclass

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.messages.fleet import FleetCopy
from pimentoquay.policy.store_position import StoreEra, era_of

__all__ = ["CopyResult", "apply_copy"]


@dataclass(frozen=True)
class CopyResult:
    """What follows from a copy: a message for the other peers and one for its sender, if any.

    The sender is told of engines in its copy that were removed since. It may have missed that, as
    only a complete list without them showed it.
    """

    passed_on: FleetCopy | None
    answer: FleetCopy | None


def apply_copy(fleet: Fleet, era: StoreEra, message: FleetCopy) -> CopyResult:
    """Apply a peer's copy to the fleet and the era; return what follows from it."""
    position = message.engines_position
    was_restored = position >= 0 and era.raise_to(era_of(position))
    is_newer = bool(message.configuration) and fleet.apply_configuration(
        message.configuration_position, message.configuration
    )
    changed = fleet.apply_engine_records(message.engines, from_peer=True)
    removals = fleet.removals_since(message.engines)
    if position >= 0:
        fleet.has_engine_list = True
    passed_on = None
    if is_newer or changed or was_restored:
        place, document = message.configuration_position, message.configuration
        copied = (place, document) if is_newer else (-1, b"")
        passed_on = FleetCopy(*copied, changed, position if was_restored else -1, ())
    answer = FleetCopy(-1, b"", removals, -1, ()) if removals else None
    return CopyResult(passed_on, answer)
