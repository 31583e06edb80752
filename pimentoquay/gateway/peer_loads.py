"""Loads of gateways: this gateway's own as a message, and those of its peers."""

from collections.abc import Callable, Collection

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.kernel import TimerService
from pimentoquay.messages.fleet import EngineRuns, EngineTokens, RunSize, VmLoad, VmWork
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.order_holder import VmState
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.stage_plan import StageDemand, StageWork
from pimentoquay.policy.stream_admission import QueuedTokens
from pimentoquay.policy.token_ledger import TokenLedger

__all__ = [
    "PeerLoadTable",
    "engine_runs",
    "engine_tokens",
    "runs_by_engine",
    "stage_work",
    "vm_work",
]


class PeerLoadTable:
    """Newest load of each peer, which is also kept in the ledgers.

    Parameters
    ----------
    timers, fleet
        The process's timers, and the list of engines, whose age is part of a load.
    run_ledger, prefill_ledger, demand
        Requests in the memory of decode engines, prompts at prefill engines, and engine time needed
        in both stages, each of this gateway and of its peers.
    queued
        Returns the memory that streams wait for at this gateway.
    """

    def __init__(
        self,
        timers: TimerService,
        fleet: Fleet,
        run_ledger: RunLedger,
        prefill_ledger: TokenLedger,
        demand: StageDemand,
        queued: Callable[[], QueuedTokens],
    ) -> None:
        self._timers = timers
        self._fleet = fleet
        self._run_ledger = run_ledger
        self._prefill_ledger = prefill_ledger
        self._demand = demand
        self._queued = queued
        self.load_by_vm: dict[str, VmLoad] = {}

    @property
    def queued(self) -> QueuedTokens:
        """Memory that streams wait for at the peers, in tokens."""
        loads = self.load_by_vm.values()
        return QueuedTokens(
            sum(load.waiting_tokens for load in loads), sum(load.urgent_tokens for load in loads)
        )

    def is_draining(self, vm: str) -> bool:
        """Return whether a peer has said that it is draining."""
        load = self.load_by_vm.get(vm)
        return load is not None and load.is_draining

    def state_of(self, vm: str) -> VmState:
        """Return what a peer has last said about itself."""
        load = self.load_by_vm.get(vm)
        return VmState(load.is_draining, load.is_cut_off) if load is not None else VmState()

    def apply(self, vm: str, load: VmLoad) -> None:
        """Replace the load of a peer."""
        self.load_by_vm[vm] = load
        self._fleet.record_peer_read(load.list_age)
        self._prefill_ledger.set_peer(vm, {each.engine: each.tokens for each in load.prefilling})
        self._run_ledger.set_peer(vm, runs_by_engine(load.running), self._timers.now())
        self._demand.set_peer(vm, stage_work(load.work))

    def remove(self, vm: str) -> None:
        """Remove the load of a peer that is lost; its runs count until they should have ended."""
        self.load_by_vm.pop(vm, None)
        self._run_ledger.mark_peer_lost(vm)
        self._prefill_ledger.remove_peer(vm)

    def current(self, own: VmState) -> VmLoad:
        """Return the present load of this gateway."""
        age = min(self._fleet.own_list_age, 1e6)
        queued = self._queued()
        return VmLoad(
            age,
            engine_runs(self._run_ledger, self._timers.now()),
            engine_tokens(self._prefill_ledger),
            queued.tokens,
            queued.urgent_tokens,
            own.is_draining,
            vm_work(self._demand.own),
            own.is_cut_off,
        )


def engine_runs(
    ledger: RunLedger, now: float, engines: Collection[str] | None = None
) -> tuple[EngineRuns, ...]:
    """Return this gateway's runs at engines, or at all of them, as message items."""
    return tuple(
        EngineRuns(engine, tuple(RunSize(run.tokens, run.remaining) for run in runs))
        for engine, runs in ledger.own(now).items()
        if engines is None or engine in engines
    )


def runs_by_engine(items: Collection[EngineRuns]) -> dict[str, tuple[GrowingRun, ...]]:
    """Return the runs of message items, by engine."""
    return {
        each.engine: tuple(GrowingRun(run.tokens, run.remaining) for run in each.runs)
        for each in items
    }


def engine_tokens(
    ledger: TokenLedger, engines: Collection[str] | None = None
) -> tuple[EngineTokens, ...]:
    """Return this gateway's prompts at engines, or at all of them, as message items."""
    return tuple(
        EngineTokens(engine, tokens)
        for engine, tokens in ledger.own().items()
        if engines is None or engine in engines
    )


def stage_work(item: VmWork) -> StageWork:
    """Return the work of a message item."""
    return StageWork(item.prefills, item.prefill_seconds, item.decodes, item.decode_seconds)


def vm_work(work: StageWork) -> VmWork:
    """Return work as a message item."""
    return VmWork(work.prefills, work.prefill_seconds, work.decodes, work.decode_seconds)
