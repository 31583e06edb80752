"""Orders that change engines between prefill and decode.

One gateway gives orders at a time. It claims that by a record in a topic of the store, appended
under the condition that no other has come since the last one it knows; the record's offset is the
fencing number. Before each order it appends again under that condition, so a gateway that has been
replaced, or that the store does not answer, gives no order. A new holder waits until every order of
the one before has arrived or been refused.
"""

from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.gateway.context import Sharing
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.kernel import TimerService
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import StageOrdered
from pimentoquay.platform.engine_calls import OrderOutcome
from pimentoquay.platform.store import ORDER_TOPIC, StoreClient, StoreError
from pimentoquay.policy.fleet import EngineStage, Service
from pimentoquay.policy.stage_plan import StageChange, max_changing_engines, next_change

__all__ = ["StageOrders"]

CHECK_SECONDS = 1.0
"""How often the stages are compared with what the load wants."""

WANTED_SECONDS = 3.0
"""How long a change has to be wanted before it is ordered; longer than an engine's entry takes to
follow a restart or a short cut."""

HOLDER_KEY = "holder"
"""The key of the records that say who gives orders."""

SETTLE_SECONDS = 2.0
"""How long a gateway has to be the one to act before it claims; peers find each other within it."""

HOLDER_MARGIN_SECONDS = 1.5
"""Added to a lease before a new holder's first order: an order may be on its way for as long."""

ORDER_SECONDS = 1.0
"""How long an engine may take to answer an order."""

CHANGE_MARGIN_SECONDS = 2.0
"""Added to the time that an engine takes to change, until its entry has to show it."""

LATE_ORDER_SECONDS = 13.0
"""How long an order without an answer may still be carried out; the platform's worst is 12 s."""


@dataclass
class _Claim:
    """The claim of this gateway; ``fence`` is the offset of its newest record."""

    fence: int
    may_order_at: float


class StageOrders:
    """Keeps the stages of one deployment's engines in proportion to the load.

    Parameters
    ----------
    vm
        This gateway's VM, the holder that orders name.
    sharing, store, timers
        Engines, the store for claims, and the process's timers.
    lease_seconds
        The time for which another holder must not order after this one.
    is_chosen
        Returns whether this gateway is the one to give orders.
    announce
        Called with every order, for the peers.
    """

    def __init__(
        self,
        vm: str,
        sharing: Sharing,
        store: StoreClient,
        timers: TimerService,
        lease_seconds: float,
        is_chosen: Callable[[], bool],
        announce: Callable[[StageOrdered], None],
    ) -> None:
        self._vm = vm
        self._sharing = sharing
        self._store = store
        self._timers = timers
        self._lease_seconds = lease_seconds
        self._is_chosen = is_chosen
        self._announce = announce
        self._claim: _Claim | None = None
        self._chosen_since: float | None = None
        self._wanted_by_service: dict[str, tuple[EngineStage | None, float]] = {}

    async def run(self) -> None:
        """Compare and order until cancelled."""
        while True:
            await self._timers.sleep(CHECK_SECONDS)
            if self._is_settled():
                await self._check()

    def note_ordered(self, order: StageOrdered) -> None:
        """Leave an engine alone that another gateway has ordered to change."""
        self._sharing.changing_until_by_engine[order.engine] = self._timers.now() + order.seconds

    def _is_settled(self) -> bool:
        now = self._timers.now()
        if not self._is_chosen() or self._fleet.list_age > SETTLE_SECONDS:
            self._chosen_since = None
            return False
        if self._chosen_since is None:
            self._chosen_since = now
        return now - self._chosen_since >= SETTLE_SECONDS

    @property
    def _fleet(self) -> Fleet:
        return self._sharing.fleet

    async def _check(self) -> None:
        configuration = self._fleet.configuration
        services = configuration.service_by_name.values() if configuration else ()
        for service in services:
            if service.memory is None:
                continue
            change = self._wanted_change(service)
            is_lasting = self._is_lasting(service.name, change)
            if change is None or not (is_lasting or self._claim is None):
                continue
            # The wait of a new claim passes while the change has to last.
            if await self._renew_claim() and is_lasting:
                await self._order(change, service)

    def _is_lasting(self, service: str, change: StageChange | None) -> bool:
        """Return whether the same stage has been wanted for long enough."""
        now = self._timers.now()
        stage = change.stage if change is not None else None
        if service not in self._wanted_by_service or self._wanted_by_service[service][0] != stage:
            self._wanted_by_service[service] = (stage, now)
        since = self._wanted_by_service[service][1]
        return now - since >= WANTED_SECONDS

    def _wanted_change(self, service: Service) -> StageChange | None:
        now = self._timers.now()
        assert service.memory is not None
        until_by_engine = self._sharing.changing_until_by_engine
        engines = self._fleet.engines_of(service.name)
        settled = [each for each in engines if until_by_engine.get(each.id, 0.0) <= now]
        changing = len(engines) - len(settled)
        is_idle = self._sharing.running.expected(engines, now) == 0
        if changing >= max_changing_engines(len(engines), is_idle):
            return None
        share = self._sharing.demand.prefill_share(service.memory.capacity_tokens)
        return next_change(settled, share, changing)

    async def _renew_claim(self) -> bool:
        """Show that no other gateway has claimed since; return whether an order may be given."""
        try:
            if self._claim is None:
                self._claim = await self._make_claim()
            elif self._timers.now() >= self._claim.may_order_at:
                offset = self._claim.fence + 1
                fence = await self._store.put_at(ORDER_TOPIC, offset, HOLDER_KEY, self._vm.encode())
                if fence is None:
                    logger.bind(fence=self._claim.fence).info("another gateway gives orders")
                    self._claim = None
                    return False
                self._claim.fence = fence
        except StoreError as error:
            # The record may have been appended, so the next claim waits like a new one.
            logger.bind(error=str(error)).info("no claim: the store does not answer")
            self._claim = None
        return self._claim is not None and self._timers.now() >= self._claim.may_order_at

    async def _make_claim(self) -> _Claim | None:
        end = await self._store.end_of(ORDER_TOPIC)
        fence = await self._store.put_at(ORDER_TOPIC, end, HOLDER_KEY, self._vm.encode())
        if fence is None:
            return None
        # Where nobody has claimed before, there is no other holder to wait for.
        wait = self._lease_seconds + HOLDER_MARGIN_SECONDS if end else 0.0
        logger.bind(fence=fence, wait=wait).info("orders claimed")
        return _Claim(fence, self._timers.now() + wait)

    async def _order(self, change: StageChange, service: Service) -> None:
        assert self._claim is not None and service.memory is not None
        engine, stage, fence = change.engine, change.stage, self._claim.fence
        link = self._sharing.links.to(engine)
        call = link.calls.change_stage(stage is EngineStage.PREFILL, self._vm, fence)
        seconds = service.memory.change_seconds + CHANGE_MARGIN_SECONDS
        try:
            status, _ = await link.call(call, ORDER_SECONDS)
            outcome = link.calls.read_order(status)
        except HttpError as error:
            logger.bind(engine=engine.id, error=str(error)).info("an order has no answer")
            outcome, seconds = OrderOutcome.UNKNOWN, LATE_ORDER_SECONDS
        logger.bind(
            engine=engine.id,
            stage=stage.value,
            fence=fence,
            share=f"{self._sharing.demand.prefill_share(service.memory.capacity_tokens):.3f}",
            outcome=outcome.value,
        ).info("stage ordered")
        if outcome is OrderOutcome.FENCED:
            self._claim = None
        order = StageOrdered(engine.id, seconds, fence)
        self.note_ordered(order)
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN):
            self._announce(order)
