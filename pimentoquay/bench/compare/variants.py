"""The policies that are compared; most add one mechanism to the policy before them."""

from dataclasses import dataclass, replace

from pimentoquay.scheduler import SchedulerSection

__all__ = ["VARIANTS", "Variant"]


@dataclass(frozen=True)
class Variant:
    """A placement policy: the settings of the scheduler, or ``None`` for the naive baseline.

    ``is_split`` makes each data centre a region of its own, so that each has its own scheduler for
    every pool.
    """

    name: str
    section: SchedulerSection | None
    is_split: bool = True


_LEDGER_ONLY = SchedulerSection(
    admission=False,
    reservation=False,
    fairness=False,
    prefixes=False,
    learning=False,
    circuits=False,
    rescue=False,
)
_WITH_RESERVATION = replace(_LEDGER_ONLY, reservation=True)
_WITH_ADMISSION = replace(_WITH_RESERVATION, admission=True)
_WITH_FAIRNESS = replace(_WITH_ADMISSION, fairness=True)
_WITH_LEARNING = replace(_WITH_FAIRNESS, learning=True)
_WITH_PREFIXES = replace(_WITH_LEARNING, prefixes=True)
_WITH_RESCUE = replace(_WITH_PREFIXES, rescue=True)

VARIANTS = {
    variant.name: variant
    for variant in (
        Variant("naive", None),
        Variant("ledger", _LEDGER_ONLY),
        Variant("reserve", _WITH_RESERVATION),
        Variant("admit", _WITH_ADMISSION),
        Variant("fair", _WITH_FAIRNESS),
        Variant("learn", _WITH_LEARNING),
        Variant("prefix", _WITH_PREFIXES),
        Variant("rescue", _WITH_RESCUE),
        Variant("split", SchedulerSection()),
        Variant("every-waiter", SchedulerSection(circuits=False), is_split=False),
        Variant("full", SchedulerSection(), is_split=False),
    )
}
"""Policies by their name on the command line; ``full`` has every mechanism."""
