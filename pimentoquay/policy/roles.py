"""When an engine changes between prefill and decode; pure, with the time passed in.

The use of both stages is compared. A change needs one stage above a high mark and the other below
a low one for some time, and some time since the last change; the gap between the marks and the
two times are the hysteresis that keeps engines from changing to and fro.
"""

from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole, EngineStatus

__all__ = ["NO_USE", "RoleBalance", "RoleLimits", "RoleUse", "use_of"]


GIVER_SHARE = 0.8
"""The part of the high mark that a stage may fill after it has given an engine."""


@dataclass(frozen=True)
class RoleLimits:
    """Marks of use, 0 to 1, and times in seconds."""

    high: float
    low: float
    hold: float
    dwell: float
    prefill_backlog: float


@dataclass(frozen=True)
class RoleUse:
    """The use of each stage's engines, 0 for idle to 1 for full."""

    prefill: float
    decode: float


NO_USE = RoleUse(0.0, 0.0)


def use_of(statuses: tuple[EngineStatus, ...], limits: RoleLimits) -> RoleUse:
    """Return the use of each stage by the engines' own reports; mixed engines do not count."""
    prefill = [item for item in statuses if item.role is EngineRole.PREFILL]
    decode = [item for item in statuses if item.role is EngineRole.DECODE]
    waiting = sum(item.prefill_queue_tokens for item in prefill)
    slots = sum(item.decode_slots for item in decode)
    running = sum(item.decode_running for item in decode)
    return RoleUse(
        min(1.0, waiting / (limits.prefill_backlog * len(prefill))) if prefill else 0.0,
        running / slots if slots else 0.0,
    )


def _greater(first: RoleUse, second: RoleUse) -> RoleUse:
    return RoleUse(max(first.prefill, second.prefill), max(first.decode, second.decode))


class RoleBalance:
    """Decides changes of role for the engines of one shard.

    Parameters
    ----------
    limits
        Marks and times.
    """

    def __init__(self, limits: RoleLimits) -> None:
        self._limits = limits
        self._wanting: EngineRole | None = None
        self._wanting_since = 0.0
        self._changed_at = float("-inf")

    def decide(
        self, statuses: tuple[EngineStatus, ...], now: float, ledger_use: RoleUse = NO_USE
    ) -> EngineStatus | None:
        """Return the engine that should take the other role now, or ``None``.

        The last engine of a stage never changes; of the others the least busy does.
        ``ledger_use`` is the use that the shard's scheduler sees; the greater one counts.
        """
        use = _greater(use_of(statuses, self._limits), ledger_use)
        wanting = self._stage_in_want(use)
        giving = EngineRole.DECODE if wanting is EngineRole.PREFILL else EngineRole.PREFILL
        givers = [item for item in statuses if item.role is giving]
        if wanting is not None and not self._can_give(use, giving, len(givers)):
            wanting = None
        if wanting is not self._wanting:
            self._wanting = wanting
            self._wanting_since = now
        if wanting is None or now - self._wanting_since < self._limits.hold:
            return None
        if now - self._changed_at < self._limits.dwell:
            return None
        self._changed_at = now
        self._wanting = None
        return min(givers, key=lambda item: (len(item.running), item.engine))

    def _can_give(self, use: RoleUse, giving: EngineRole, engines: int) -> bool:
        """Tell whether a stage stays well below the high mark with one engine less.

        Otherwise the change itself would make the stage want its engine back.
        """
        given = use.decode if giving is EngineRole.DECODE else use.prefill
        most = GIVER_SHARE * self._limits.high
        return engines > 1 and given * engines / (engines - 1) <= most

    def _stage_in_want(self, use: RoleUse) -> EngineRole | None:
        if use.prefill >= self._limits.high and use.decode <= self._limits.low:
            return EngineRole.PREFILL
        if use.decode >= self._limits.high and use.prefill <= self._limits.low:
            return EngineRole.DECODE
        return None
