"""Ledger of the running requests that hold memory on each decode engine, over all VMs.

Load pattern: bursts of up to twice the rate that the decode engines' memory allows, spread over
many VMs that each receive a fraction of the requests. Each VM sends its running requests and their
progress to the others. Together they show which engines have free memory, now and until the last
of the requests has ended.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.engine_preference import Placer, sort_by_preference
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.memory_forecast import GrowingRun, peak_tokens

__all__ = ["RunLedger"]

INITIAL_TOKENS_PER_SECOND = 1300.0
"""Assumed rate at which an answer grows before the first sample: one token per 0.77 ms."""

SIMILAR_LOAD_SHARE = 0.2
"""Size of a load step of a VM that lacks the loads of others, as a share of the usable memory.

Engines in the same step count as equally loaded. A step is about the memory of one stream.
"""

REMOTE_PENALTY_SHARE = 0.15
"""Load added to engines in other data centres, as a share of the usable memory.

It is about the memory of one stream.
"""

NEW_SAMPLE_WEIGHT = 0.05
"""Weight of the newest answer in the average growth rate."""


@dataclass(frozen=True)
class _RunSnapshot:
    """State of a run on an engine at the time ``at`` on this VM's clock."""

    engine: str
    run: GrowingRun
    at: float


class RunLedger:
    """Ledger of the runs of this VM and of its peers, by engine.

    A run is a request that holds memory on a decode engine. ``keeps_pause`` returns for an engine,
    a share of its usable memory in use and a time whether its streams then have no long pauses.

    Load pattern: bursts over many VMs that each receive a fraction of the requests.
    """

    def __init__(self) -> None:
        self.tokens_per_second = INITIAL_TOKENS_PER_SECOND
        self.keeps_pause: Callable[[EngineStart, float, float], bool] = _keeps_always
        self._own_by_key: dict[int, _RunSnapshot] = {}
        self._next_key = 0
        self._runs_by_vm: dict[str, tuple[_RunSnapshot, ...]] = {}
        self._lost_runs_by_vm: dict[str, tuple[_RunSnapshot, ...]] = {}
        self._refused_by_engine: dict[str, tuple[float, int]] = {}

    def take(self, engine: str, run: GrowingRun, now: float) -> int:
        """Add a run of this VM; return its key for later calls."""
        self._next_key += 1
        self._own_by_key[self._next_key] = _RunSnapshot(engine, run, now)
        return self._next_key

    def progress(self, key: int, run: GrowingRun, now: float) -> None:
        """Update the progress of a run of this VM."""
        self._own_by_key[key] = replace(self._own_by_key[key], run=run, at=now)

    def release(self, key: int) -> None:
        """Remove a run of this VM that has ended."""
        snapshot = self._own_by_key.pop(key)
        self._refused_by_engine.pop(snapshot.engine, None)

    def remove(self, key: int) -> None:
        """Remove a run of this VM that is reported by a peer from now on."""
        self._own_by_key.pop(key, None)

    def record_generation_rate(self, tokens: int, seconds: float) -> None:
        """Add an answer of ``tokens`` that took ``seconds`` to the average growth rate."""
        if tokens > 0 and seconds > 0:
            self.tokens_per_second += NEW_SAMPLE_WEIGHT * (
                tokens / seconds - self.tokens_per_second
            )

    def own(self, now: float) -> dict[str, tuple[GrowingRun, ...]]:
        """Return the present state of the runs of this VM, by engine."""
        runs_by_engine: dict[str, tuple[GrowingRun, ...]] = {}
        for snapshot in self._own_by_key.values():
            before = runs_by_engine.get(snapshot.engine, ())
            runs_by_engine[snapshot.engine] = (*before, self._run_at(snapshot, now))
        return runs_by_engine

    def set_peer(
        self, vm: str, runs_by_engine: Mapping[str, tuple[GrowingRun, ...]], now: float
    ) -> None:
        """Replace the runs of a peer by those that it has reported.

        If a run of the peer has ended on an engine, an earlier refusal by that engine no longer
        counts.
        """
        before = {snapshot.engine for snapshot in self._runs_by_vm.get(vm, ())}
        count = {engine: self._count_runs(vm, engine) for engine in before}
        self._lost_runs_by_vm.pop(vm, None)
        self._runs_by_vm[vm] = tuple(
            _RunSnapshot(engine, run, now)
            for engine, runs in runs_by_engine.items()
            for run in runs
        )
        for engine in before:
            if self._count_runs(vm, engine) < count[engine]:
                self._refused_by_engine.pop(engine, None)

    def mark_peer_lost(self, vm: str) -> None:
        """Mark a peer as lost because its heartbeats are missing.

        The peer may have failed, which ends its requests, or be cut off while engines continue with
        its requests. They count until they are expected to have ended.
        """
        self._lost_runs_by_vm[vm] = self._runs_by_vm.pop(vm, ())

    def record_refusal(self, engine: str, tokens: int, until: float) -> None:
        """Record that an engine has refused a request of a number of tokens for lack of memory.

        The engine is no candidate for requests of that size or larger until the time ``until``, or
        until a run ends there.
        """
        self._refused_by_engine[engine] = (until, tokens)

    def runs_at(self, engine: str, now: float) -> list[GrowingRun]:
        """Return the runs of all VMs on an engine."""
        return self.runs_of_all(now).get(engine, [])

    def held(self, engine: str, now: float) -> int:
        """Return the number of tokens that the runs of all VMs hold on an engine."""
        return sum(run.tokens for run in self.runs_at(engine, now))

    def expected(self, engines: Iterable[EngineEntry], now: float) -> int:
        """Return the sum of the expected final sizes of all runs on these engines, in tokens."""
        runs_by_engine = self.runs_of_all(now)
        return sum(
            run.tokens + run.remaining
            for engine in engines
            for run in runs_by_engine.get(engine.id, ())
        )

    def candidates(
        self,
        engines: Sequence[EngineEntry],
        usable: int,
        run: GrowingRun,
        now: float,
        placer: Placer,
        runs_by_engine: Mapping[str, Sequence[GrowingRun]] | None = None,
    ) -> list[EngineEntry]:
        """Return the engines with enough memory for one more run, in order of preference.

        Load pattern: bursts of up to twice the rate that the engines' memory allows. The expected
        peak of an engine with the run must not exceed its usable memory; engines with a lower peak
        are preferred. Those whose streams would pause for too long come last, so that they are used
        only when the others are full.

        Parameters
        ----------
        engines
            Decode engines to choose from.
        usable
            Usable memory of each engine, in tokens.
        run
            The run to place.
        now
            Current time in seconds.
        placer
            VM that places the run.
        runs_by_engine
            Present runs of all VMs, if the caller has them from ``runs_of_all`` already.
        """
        if runs_by_engine is None:
            runs_by_engine = self.runs_of_all(now)
        peak_by_id = {
            engine.id: peak_tokens([*runs_by_engine.get(engine.id, ()), run])
            for engine in engines
            if not self._is_refused(engine.id, run, now)
        }
        fitting = [engine for engine in engines if peak_by_id.get(engine.id, usable + 1) <= usable]
        step, remote_penalty = int(SIMILAR_LOAD_SHARE * usable), int(REMOTE_PENALTY_SHARE * usable)
        ordered = sort_by_preference(fitting, peak_by_id, step, placer, remote_penalty)

        def is_slow(engine: EngineEntry) -> bool:
            held = sum(each.tokens for each in runs_by_engine.get(engine.id, ())) + run.tokens
            return not self.keeps_pause(engine.start, held / max(1, usable), now)

        return sorted(ordered, key=is_slow)

    def runs_of_all(self, now: float) -> dict[str, list[GrowingRun]]:
        """Return the present runs of all VMs, by engine."""
        runs_by_engine: dict[str, list[GrowingRun]] = {}
        for part in (self._own_by_key.values(), *self._runs_by_vm.values()):
            for snapshot in part:
                runs_by_engine.setdefault(snapshot.engine, []).append(self._run_at(snapshot, now))
        for part in self._lost_runs_by_vm.values():
            for snapshot in part:
                run = self._run_at(snapshot, now)
                if run.remaining > 0:
                    runs_by_engine.setdefault(snapshot.engine, []).append(run)
        return runs_by_engine

    def _is_refused(self, engine: str, run: GrowingRun, now: float) -> bool:
        until, tokens = self._refused_by_engine.get(engine, (now, 0))
        return now < until and run.tokens >= tokens

    def _count_runs(self, vm: str, engine: str) -> int:
        return sum(snapshot.engine == engine for snapshot in self._runs_by_vm.get(vm, ()))

    def _run_at(self, snapshot: _RunSnapshot, now: float) -> GrowingRun:
        return snapshot.run.after(int(max(0.0, now - snapshot.at) * self.tokens_per_second))


def _keeps_always(start: EngineStart, fill: float, now: float) -> bool:
    return True
