"""Change engines between the prefill and the decode stage in proportion to the load.

One gateway at a time sends stage orders. It claims that role with a record in a topic of the store,
which is appended only if no other record has been added since the last known one. The position of
the record is the fencing token. Before each order another record is appended in the same way, so a
gateway that has been replaced, or that cannot reach the store, sends no order. A new holder waits
until every order of the previous one has been received or rejected.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.kernel import TimerService
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import StageOrdered
from pimentoquay.platform.engine_calls import OrderOutcome
from pimentoquay.platform.store import ORDER_TOPIC, StoreClient, StoreError
from pimentoquay.policy.fleet import EngineEntry, EngineStage, Service
from pimentoquay.policy.stage_plan import StageChange, max_changing_engines, next_change
from pimentoquay.policy.store_position import FIRST_ERA, era_of, offset_of

__all__ = ["StageController"]

CHECK_INTERVAL_SECONDS = 1.0
"""Interval at which the stages are compared with those that the load requires."""

MIN_WANTED_SECONDS = 3.0
"""Time for which a change must be wanted before it is ordered. After a restart or a short network
failure, an engine's entry is out of date for a shorter time than this."""

CLAIM_KEY = "holder"
"""Key of the records that name the gateway which sends orders."""

SETTLE_SECONDS = 2.0
"""Time for which a gateway must be the leader before it claims the role, so that peers can connect
to each other first. It is also the maximum age of the list of engines."""

LEASE_MARGIN_SECONDS = 1.5
"""Added to the lease before a new holder's first order; an order may be in transit that long."""

ORDER_TIMEOUT_SECONDS = 1.0
"""Timeout of an engine's response to an order."""

CHANGE_MARGIN_SECONDS = 2.0
"""Added to the duration of a stage change; by then the engine's entry must show the new stage."""

MAX_ORDER_DELAY_SECONDS = 13.0
"""Time in which an order without a response may still be executed; the platform allows 12 s."""


@dataclass
class _Claim:
    """Claim of this gateway to the role of sending orders.

    ``fence``, the fencing token, is the position of its newest record. ``may_order_at`` is the time
    from which it may send orders.
    """

    fence: int
    may_order_at: float


class StageController:
    """Keeps the engines of a deployment divided into stages in proportion to the load.

    Parameters
    ----------
    vm
        VM of this gateway, which is named in orders as their sender.
    shared, store, timers
        Engines, the store for claims, and the process's timers.
    lease_seconds
        Time for which a new holder must wait after the last order of the previous one.
    is_leader
        Returns whether this gateway should send orders.
    announce
        Called with every order, to send it to the peers.
    expected_tokens
        Returns the expected final size of all streams on engines at a time, in tokens.
    """

    def __init__(
        self,
        vm: str,
        shared: SharedState,
        store: StoreClient,
        timers: TimerService,
        lease_seconds: float,
        is_leader: Callable[[], bool],
        announce: Callable[[StageOrdered], None],
        expected_tokens: Callable[[Sequence[EngineEntry], float], int],
    ) -> None:
        self._vm = vm
        self._shared = shared
        self._store = store
        self._timers = timers
        self._lease_seconds = lease_seconds
        self._is_leader = is_leader
        self._announce = announce
        self._expected_tokens = expected_tokens
        self._claim: _Claim | None = None
        self._leader_since: float | None = None
        self._wanted_by_service: dict[str, tuple[EngineStage | None, float]] = {}

    async def run(self) -> None:
        """Check the stages at intervals and send orders until cancelled."""
        while True:
            await self._timers.sleep(CHECK_INTERVAL_SECONDS)
            if self._is_settled():
                await self._check_stages()

    def record_order(self, order: StageOrdered) -> None:
        """Exclude an engine from use while it carries out an order to change its stage."""
        self._shared.changing_until_by_engine[order.engine] = self._timers.now() + order.seconds

    def _is_settled(self) -> bool:
        now = self._timers.now()
        if not self._is_leader() or self._fleet.list_age > SETTLE_SECONDS:
            self._leader_since = None
            return False
        if self._leader_since is None:
            self._leader_since = now
        return now - self._leader_since >= SETTLE_SECONDS

    @property
    def _fleet(self) -> Fleet:
        return self._shared.fleet

    async def _check_stages(self) -> None:
        configuration = self._fleet.configuration
        services = configuration.service_by_name.values() if configuration else ()
        for service in services:
            if service.memory is None:
                continue
            change = self._wanted_change(service)
            has_lasted = self._has_lasted(service.name, change)
            if change is None or not (has_lasted or self._claim is None):
                continue
            # A new claim is made early, so that its wait overlaps with MIN_WANTED_SECONDS.
            if await self._renew_claim() and has_lasted:
                await self._send_order(change, service)

    def _has_lasted(self, service: str, change: StageChange | None) -> bool:
        """Return whether a change to the same stage was wanted for ``MIN_WANTED_SECONDS``."""
        now = self._timers.now()
        stage = change.stage if change is not None else None
        if service not in self._wanted_by_service or self._wanted_by_service[service][0] != stage:
            self._wanted_by_service[service] = (stage, now)
        since = self._wanted_by_service[service][1]
        return now - since >= MIN_WANTED_SECONDS

    def _wanted_change(self, service: Service) -> StageChange | None:
        now = self._timers.now()
        assert service.memory is not None
        until_by_engine = self._shared.changing_until_by_engine
        engines = self._fleet.accepting_engines(service.name)
        settled = [each for each in engines if until_by_engine.get(each.id, 0.0) <= now]
        changing = len(engines) - len(settled)
        is_idle = self._expected_tokens(engines, now) == 0
        if changing >= max_changing_engines(len(engines), is_idle):
            return None
        demand = self._shared.demand
        share = demand.prefill_share(service.memory.capacity_tokens)
        return next_change(settled, share, changing, demand.is_observed)

    async def _renew_claim(self) -> bool:
        """Renew the claim unless another gateway made one; return whether an order may be sent."""
        try:
            if self._claim is None:
                self._claim = await self._make_claim()
            elif self._timers.now() >= self._claim.may_order_at:
                position = self._claim.fence + 1
                fence = await self._store.put_at(
                    ORDER_TOPIC, position, CLAIM_KEY, self._vm.encode()
                )
                if fence is None:
                    logger.bind(fence=self._claim.fence).info("another gateway gives orders")
                    self._claim = None
                    return False
                self._claim.fence = fence
        except StoreError as error:
            # It is unknown whether the record was appended, so the claim is given up. The next one
            # has to wait for the lease of the previous holder again.
            logger.bind(error=str(error)).info("failed to claim the role of sending orders")
            self._claim = None
        return self._claim is not None and self._timers.now() >= self._claim.may_order_at

    async def _make_claim(self) -> _Claim | None:
        end = await self._store.read_end_position(ORDER_TOPIC)
        fence = await self._store.put_at(ORDER_TOPIC, end, CLAIM_KEY, self._vm.encode())
        if fence is None:
            return None
        # An empty topic means that there is no previous holder to wait for, unless its records were
        # lost because the store was restored.
        is_first = offset_of(end) == 0 and era_of(end) == FIRST_ERA
        wait = 0.0 if is_first else self._lease_seconds + LEASE_MARGIN_SECONDS
        logger.bind(fence=fence, wait=wait).info("orders claimed")
        return _Claim(fence, self._timers.now() + wait)

    async def _send_order(self, change: StageChange, service: Service) -> None:
        assert self._claim is not None and service.memory is not None
        engine, stage, fence = change.engine, change.stage, self._claim.fence
        link = self._shared.links.link_to(engine)
        call = link.calls.change_stage(stage is EngineStage.PREFILL, self._vm, fence)
        seconds = service.memory.change_seconds + CHANGE_MARGIN_SECONDS
        try:
            status, _ = await link.order(call, ORDER_TIMEOUT_SECONDS)
            outcome = link.calls.parse_order_status(status)
        except HttpError as error:
            logger.bind(engine=engine.id, error=str(error)).info("no response to a stage order")
            outcome, seconds = OrderOutcome.UNKNOWN, MAX_ORDER_DELAY_SECONDS
        logger.bind(
            engine=engine.id,
            stage=stage.value,
            fence=fence,
            share=f"{self._shared.demand.prefill_share(service.memory.capacity_tokens):.3f}",
            outcome=outcome.value,
        ).info("stage ordered")
        if outcome is OrderOutcome.FENCED:
            self._claim = None
        order = StageOrdered(engine.id, seconds, fence)
        self.record_order(order)
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN):
            self._announce(order)
