"""The policies that are compared, each one step beyond the one before it."""

from dataclasses import dataclass, replace

from pimentoquay.scheduler import SchedulerSection

__all__ = ["VARIANTS", "Variant"]


@dataclass(frozen=True)
class Variant:
    """One policy; without a section every VM schedules alone and naively.

    ``is_split`` makes each data centre a region of its own, with its own owner of every pool.
    """

    name: str
    section: SchedulerSection | None
    is_split: bool = True


_PLAIN = SchedulerSection(
    admission=False,
    reservation=False,
    fairness=False,
    prefixes=False,
    learning=False,
    circuits=False,
    rescue=False,
)
_RESERVED = replace(_PLAIN, reservation=True)
_ADMITTED = replace(_RESERVED, admission=True)
_FAIR = replace(_ADMITTED, fairness=True)
_LEARNED = replace(_FAIR, learning=True)
_PREFIXED = replace(_LEARNED, prefixes=True)
_RESCUED = replace(_PREFIXED, rescue=True)

VARIANTS = {
    variant.name: variant
    for variant in (
        Variant("naive", None),
        Variant("ledger", _PLAIN),
        Variant("reserve", _RESERVED),
        Variant("admit", _ADMITTED),
        Variant("fair", _FAIR),
        Variant("learn", _LEARNED),
        Variant("prefix", _PREFIXED),
        Variant("rescue", _RESCUED),
        Variant("split", SchedulerSection()),
        Variant("every-waiter", SchedulerSection(circuits=False), is_split=False),
        Variant("full", SchedulerSection(), is_split=False),
    )
}
