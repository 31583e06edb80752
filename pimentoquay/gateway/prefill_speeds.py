"""Speeds of engines: measured by this gateway, and shared with others.

Where coordinators place streams, each is told of the prefills in its pool. In a full mesh all
gateways are told. At most one prefill of each engine is sent in ``REPORT_SECONDS``.
"""

from collections.abc import Callable, Collection
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.pause_reports import PauseReports
from pimentoquay.gateway.pool_coordinator import PoolCoordinator
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.kernel import Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.engine_speeds import PausesMeasured, PrefillsMeasured
from pimentoquay.messages.pools import PoolKey
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.engine_speeds import PrefillSample
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["PrefillSpeeds"]

REPORT_SECONDS = 1.0
"""Time in which prefills are collected; only the fastest of each engine is sent."""

EXPIRY_SECONDS = 60.0
"""Interval at which the speeds of engines that are gone are dropped."""


class PrefillSpeeds:
    """Measures prefills and exchanges the results with other gateways.

    Parameters
    ----------
    node, shared
        The process, and the engines and their speeds.
    coordinator_of
        Returns the VM that coordinates a pool.
    peers
        Returns the other VMs of a full mesh.
    send_to
        Sends a message to a VM.
    coordinator
        Knows what was before the prompts that this gateway granted as coordinator.
    """

    def __init__(
        self,
        node: Node,
        shared: SharedState,
        coordinator_of: Callable[[PoolKey], str | None],
        peers: Callable[[], Collection[str]],
        send_to: Callable[[str, Any], None],
        coordinator: PoolCoordinator,
    ) -> None:
        self._node = node
        self._shared = shared
        self._pauses = PauseReports(node, shared, coordinator, self._publish)
        self._coordinator_of = coordinator_of
        self._peers = peers
        self._send_to = send_to
        self._coordinator = coordinator
        self._fastest_by_start: dict[EngineStart, tuple[EngineEntry, PrefillSample]] = {}
        self._is_report_due = False
        self._expired_at = 0.0

    def record(self, engine: EngineEntry, sample: PrefillSample) -> None:
        """Add a prefill of this gateway, and report it."""
        shown: PrefillSample | None = sample
        if sample.ahead is not None:
            shown = self._shared.speeds.of(engine.service).effective(engine.start, sample)
        self._apply(engine, sample)
        if shown is None:
            return
        _, known = self._fastest_by_start.get(engine.start, (engine, None))
        if known is None or shown.seconds * known.tokens < known.seconds * shown.tokens:
            self._fastest_by_start[engine.start] = engine, shown
        if not self._is_report_due:
            self._is_report_due = True
            self._node.timers.after(REPORT_SECONDS, self._report)

    @singledispatchmethod
    def receive(self, message: Any, source: str) -> None:
        """Handle a message of a gateway; those of other types are not about speeds."""

    @receive.register
    def _handle_measured(self, message: PrefillsMeasured, source: str) -> None:
        engine = self._engine_of(message)
        if engine is None:
            return
        ahead: int | None = 0
        if self._shared.placer.lacks_peer_loads:
            ahead = self._coordinator.prefill_ahead(
                message.pool, source, message.engine, message.tokens
            )
        self._apply(engine, PrefillSample(message.tokens, message.seconds, ahead))

    @receive.register
    def _handle_pauses(self, message: PausesMeasured, source: str) -> None:
        engine = self._engine_of(message)
        if engine is not None:
            self._pauses.apply(engine, message.pool, message)

    def _engine_of(self, message: PrefillsMeasured | PausesMeasured) -> EngineEntry | None:
        """Return the engine that a message is about, if it is listed in the pool."""
        members = self._shared.fleet.pools(message.pool.service).get(message.pool, ())
        start = EngineStart(message.engine, message.incarnation)
        return next((each for each in members if each.start == start), None)

    def _apply(self, engine: EngineEntry, sample: PrefillSample) -> None:
        now = self._node.timers.now()
        speeds = self._shared.speeds.of(engine.service)
        change = speeds.record(engine.start, sample, now)
        if now - self._expired_at > EXPIRY_SECONDS:
            self._expired_at = now
            self._shared.speeds.expire(now)
        if change is not None:
            text = "engine became slower" if change.is_slower else "engine became faster"
            logger.bind(
                engine=engine.id,
                before=round(change.before),
                tokens_per_second=round(change.now),
                median=round(speeds.median),
                confidence=f"{speeds.confidence(engine.start, now):.2f}",
            ).info(text)

    def _report(self) -> None:
        self._is_report_due = False
        measured, self._fastest_by_start = self._fastest_by_start, {}
        for engine, sample in measured.values():
            if sample.is_valid:
                self._publish(engine, _message_of(engine, sample))

    def _publish(self, engine: EngineEntry, message_of: Callable[[PoolKey], Any]) -> None:
        """Send a message to the gateways that place requests on an engine."""
        pools = self._shared.fleet.pools(engine.service)
        ids_by_key = {key: {each.id for each in members} for key, members in pools.items()}
        key = next((key for key, ids in ids_by_key.items() if engine.id in ids), None)
        if key is None:
            return
        if self._shared.placer.lacks_peer_loads:
            coordinator = self._coordinator_of(key)
            targets = [coordinator] if coordinator is not None else []
        else:
            targets = [vm for vm in self._peers() if vm != self._node.identity.vm]
        for vm in targets:
            self._send_to(vm, message_of(key))


def _message_of(
    engine: EngineEntry, sample: PrefillSample
) -> Callable[[PoolKey], PrefillsMeasured]:
    def message(key: PoolKey) -> PrefillsMeasured:
        return PrefillsMeasured(key, engine.id, engine.incarnation, sample.tokens, sample.seconds)

    return message
