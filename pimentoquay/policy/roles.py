"""Decisions to change an engine's role between prefill and decode.

The utilisation of the two stages is compared. An engine changes if one stage is above the high
watermark and the other below the low watermark for a minimum time, and if the last change is long
enough ago. The gap between the watermarks and the two times form a hysteresis that keeps engines
from changing back and forth.
"""

from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole, EngineStatus

__all__ = ["IDLE_USE", "RoleBalance", "RoleLimits", "RoleUse", "reported_use"]

MAX_GIVER_SHARE = 0.8
"""Maximum utilisation of a stage after it has given up an engine, as a share of ``high``."""


@dataclass(frozen=True)
class RoleLimits:
    """Limits of role changes.

    ``high`` and ``low`` are the watermarks of utilisation, from 0 to 1. ``hold`` is the minimum
    time in seconds for which the watermarks have to be passed, ``dwell`` the minimum time between
    two changes. ``prefill_backlog`` is the number of queued prompt tokens per prefill engine that
    counts as full utilisation.
    """

    high: float
    low: float
    hold: float
    dwell: float
    prefill_backlog: float


@dataclass(frozen=True)
class RoleUse:
    """Utilisation of the engines of each stage, from 0 (idle) to 1 (full)."""

    prefill: float
    decode: float


IDLE_USE = RoleUse(0.0, 0.0)


def reported_use(statuses: tuple[EngineStatus, ...], limits: RoleLimits) -> RoleUse:
    """Return the utilisation of each stage, as reported by the engines that run only that stage."""
    prefill = [item for item in statuses if item.role is EngineRole.PREFILL]
    decode = [item for item in statuses if item.role is EngineRole.DECODE]
    waiting = sum(item.prefill_queue_tokens for item in prefill)
    slots = sum(item.decode_slots for item in decode)
    running = sum(item.decode_running for item in decode)
    return RoleUse(
        min(1.0, waiting / (limits.prefill_backlog * len(prefill))) if prefill else 0.0,
        running / slots if slots else 0.0,
    )


def _maximum(first: RoleUse, second: RoleUse) -> RoleUse:
    return RoleUse(max(first.prefill, second.prefill), max(first.decode, second.decode))


class RoleBalance:
    """Decisions on role changes for the engines of one shard.

    Load pattern: a lasting shift between long prompts and long answers, which leaves the engines of
    one stage overloaded and those of the other idle.

    Parameters
    ----------
    limits
        Watermarks and times.
    """

    def __init__(self, limits: RoleLimits) -> None:
        self._limits = limits
        self._overloaded: EngineRole | None = None
        self._overloaded_since = 0.0
        self._changed_at = float("-inf")

    def decide(
        self, statuses: tuple[EngineStatus, ...], now: float, ledger_use: RoleUse = IDLE_USE
    ) -> EngineStatus | None:
        """Return the engine that should change its role now, or ``None``.

        The last engine of a stage never changes; of several, the one with the fewest running
        requests changes. ``ledger_use`` is the utilisation according to the shard's scheduler; the
        higher one of this and the engines' reports applies.
        """
        use = _maximum(reported_use(statuses, self._limits), ledger_use)
        overloaded = self._find_overloaded(use)
        giver_role = EngineRole.DECODE if overloaded is EngineRole.PREFILL else EngineRole.PREFILL
        givers = [item for item in statuses if item.role is giver_role]
        if overloaded is not None and not self._can_give(use, giver_role, len(givers)):
            overloaded = None
        if overloaded is not self._overloaded:
            self._overloaded = overloaded
            self._overloaded_since = now
        if overloaded is None or now - self._overloaded_since < self._limits.hold:
            return None
        if now - self._changed_at < self._limits.dwell:
            return None
        self._changed_at = now
        self._overloaded = None
        return min(givers, key=lambda item: (len(item.running), item.engine))

    def _can_give(self, use: RoleUse, giver_role: EngineRole, engines: int) -> bool:
        """Return whether a stage stays well below the high watermark with one engine less.

        Otherwise the change would overload the stage and be reversed later.
        """
        giver_use = use.decode if giver_role is EngineRole.DECODE else use.prefill
        max_use = MAX_GIVER_SHARE * self._limits.high
        return engines > 1 and giver_use * engines / (engines - 1) <= max_use

    def _find_overloaded(self, use: RoleUse) -> EngineRole | None:
        if use.prefill >= self._limits.high and use.decode <= self._limits.low:
            return EngineRole.PREFILL
        if use.decode >= self._limits.high and use.prefill <= self._limits.low:
            return EngineRole.DECODE
        return None
