"""Pauses between events of streams: measured by this gateway, and shared with others.

Only engines with pauses that were too long are reported, at most once in ``REPORT_SECONDS``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentoquay.gateway.pool_coordinator import PoolCoordinator
from pimentoquay.gateway.reservation import usable_tokens
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.kernel import Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.engine_speeds import PausesMeasured
from pimentoquay.messages.pools import PoolKey
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["PauseReports"]

REPORT_SECONDS = 1.0
"""Time in which pauses are added up before they are reported."""


STALLED_SECONDS = 0.2
"""Delay of a report after which this process was stalled or suspended, and not the engines."""

RESUMED_SECONDS = 0.5
"""Time after a stall in which pauses are not counted, as they began before it."""


@dataclass
class _Pauses:
    engine: EngineEntry
    seconds: float = 0.0
    late_seconds: float = 0.0


class PauseReports:
    """Measures the pauses of streams and exchanges long ones with other gateways.

    Parameters
    ----------
    node, shared
        The process, and the engines and their pauses.
    coordinator
        Knows how full the engines of the pools are that this gateway coordinates.
    publish
        Sends a message to the gateways that place streams on an engine.
    """

    def __init__(
        self,
        node: Node,
        shared: SharedState,
        coordinator: PoolCoordinator,
        publish: Callable[[EngineEntry, Callable[[PoolKey], Any]], None],
    ) -> None:
        self._node = node
        self._shared = shared
        self._coordinator = coordinator
        self._publish = publish
        self._pauses_by_start: dict[EngineStart, _Pauses] = {}
        self._is_report_due = False
        self._due_at = 0.0
        self._counted_from = 0.0
        shared.record_pause = self.record
        shared.run_ledger.keeps_pause = shared.pauses.keeps

    def record(self, engine: EngineEntry, pause: float, longest: float) -> None:
        """Add a pause between two events of a stream, in seconds, and the longest allowed one."""
        now = self._node.timers.now()
        if now < self._counted_from:
            return
        pauses = self._pauses_by_start.get(engine.start)
        if pauses is None:
            pauses = self._pauses_by_start[engine.start] = _Pauses(engine)
        pauses.seconds += pause
        pauses.late_seconds += pause if pause > longest else 0.0
        if not self._is_report_due:
            self._is_report_due = True
            self._due_at = now + REPORT_SECONDS
            self._node.timers.after(REPORT_SECONDS, self._report)

    def apply(self, engine: EngineEntry, key: PoolKey, message: PausesMeasured) -> None:
        """Add the pauses of another gateway."""
        self._add(engine, key, message.seconds, message.late_seconds)

    def _add(
        self, engine: EngineEntry, key: PoolKey | None, seconds: float, late_seconds: float
    ) -> None:
        now, pauses = self._node.timers.now(), self._shared.pauses
        fill, streams = self._use(engine, key, now)
        kept = pauses.keeps(engine.start, fill, now)
        pauses.record(engine.start, fill, seconds, late_seconds, now, streams)
        if kept and not pauses.keeps(engine.start, fill, now):
            logger.bind(
                engine=engine.id,
                fill=f"{fill:.2f}",
                seconds=f"{seconds:.2f}",
                late_seconds=f"{late_seconds:.2f}",
            ).info("engine is too slow for its streams")

    def _use(self, engine: EngineEntry, key: PoolKey | None, now: float) -> tuple[float, int]:
        """Return the share of an engine's usable memory that is in use, and by how many streams.

        The number is 0 if it is not known.
        """
        configuration = self._shared.fleet.configuration
        service = configuration.service_by_name.get(engine.service) if configuration else None
        memory = service.memory if service is not None else None
        if memory is None:
            return 1.0, 0
        ledger = self._coordinator.ledger_of(key) if key is not None else None
        runs = (ledger or self._shared.run_ledger).runs_at(engine.id, now)
        return sum(each.tokens for each in runs) / max(1, usable_tokens(memory)), len(runs)

    def _report(self) -> None:
        self._is_report_due = False
        measured, self._pauses_by_start = self._pauses_by_start, {}
        now = self._node.timers.now()
        if now - self._due_at > STALLED_SECONDS:
            self._counted_from = now + RESUMED_SECONDS
            logger.bind(delay=f"{now - self._due_at:.2f}").info(
                "pauses are not counted after a stall"
            )
            return
        for each in measured.values():
            if each.late_seconds == 0.0:
                continue
            if not self._shared.placer.lacks_peer_loads:
                self._add(each.engine, None, each.seconds, each.late_seconds)
            self._publish(each.engine, _message_of(each))


def _message_of(pauses: _Pauses) -> Callable[[PoolKey], PausesMeasured]:
    start = pauses.engine.start

    def message(key: PoolKey) -> PausesMeasured:
        return PausesMeasured(key, start.id, start.incarnation, pauses.seconds, pauses.late_seconds)

    return message
