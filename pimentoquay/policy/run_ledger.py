"""Which requests hold memory of which decode engine, over all VMs.

Load pattern: bursts of up to twice what the decode engines' memory allows, spread over many VMs
that each see a fraction of the requests. Each VM tells the others of its requests and how far they
are; all of them together show where there is room, now and until the last of them has ended.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from pimentoquay.policy.engine_preference import Placer, by_preference
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.memory_forecast import GrowingRun, peak_tokens

__all__ = ["RunLedger"]

ASSUMED_TOKENS_PER_SECOND = 1300.0
"""The pace of an answer before any was seen: a token in 0.77 ms, as on the users' sheets."""

ALIKE_SHARE = 0.2
"""The share of the memory that may be used by which engines may differ and still count as alike
where others' requests are heard of late; about one stream."""

FAR_SHARE = 0.15
"""How much emptier an engine of another data centre has to be, as a share of the memory that may be
used; about one stream."""

PACE_SMOOTHING = 0.05
"""The weight of the newest answer in the pace."""


@dataclass(frozen=True)
class _Seen:
    """A run as it was at a moment, on this VM's clock."""

    engine: str
    run: GrowingRun
    at: float


class RunLedger:
    """Runs of this VM and of its peers, by engine."""

    def __init__(self) -> None:
        self.tokens_per_second = ASSUMED_TOKENS_PER_SECOND
        self._own_by_key: dict[int, _Seen] = {}
        self._next_key = 0
        self._runs_by_vm: dict[str, tuple[_Seen, ...]] = {}
        self._lost_runs_by_vm: dict[str, tuple[_Seen, ...]] = {}
        self._refused_by_engine: dict[str, tuple[float, int]] = {}

    def take(self, engine: str, run: GrowingRun, now: float) -> int:
        """Count a run of this VM; return the key under which it is known."""
        self._next_key += 1
        self._own_by_key[self._next_key] = _Seen(engine, run, now)
        return self._next_key

    def progress(self, key: int, run: GrowingRun, now: float) -> None:
        """Take how far a run of this VM has come."""
        self._own_by_key[key] = replace(self._own_by_key[key], run=run, at=now)

    def release(self, key: int) -> None:
        """Count the end of a run of this VM."""
        seen = self._own_by_key.pop(key)
        self._refused_by_engine.pop(seen.engine, None)

    def note_pace(self, tokens: int, seconds: float) -> None:
        """Learn how fast answers grow."""
        if tokens > 0 and seconds > 0:
            self.tokens_per_second += PACE_SMOOTHING * (tokens / seconds - self.tokens_per_second)

    def own(self, now: float) -> dict[str, tuple[GrowingRun, ...]]:
        """Return the runs of this VM, by engine."""
        runs_by_engine: dict[str, tuple[GrowingRun, ...]] = {}
        for seen in self._own_by_key.values():
            before = runs_by_engine.get(seen.engine, ())
            runs_by_engine[seen.engine] = (*before, self._run_at(seen, now))
        return runs_by_engine

    def set_peer(
        self, vm: str, runs_by_engine: Mapping[str, tuple[GrowingRun, ...]], now: float
    ) -> None:
        """Take a peer's own account of its runs."""
        before = {seen.engine for seen in self._runs_by_vm.get(vm, ())}
        count = {engine: self._count(vm, engine) for engine in before}
        self._lost_runs_by_vm.pop(vm, None)
        self._runs_by_vm[vm] = tuple(
            _Seen(engine, run, now) for engine, runs in runs_by_engine.items() for run in runs
        )
        for engine in before:
            if self._count(vm, engine) < count[engine]:
                self._refused_by_engine.pop(engine, None)

    def lose_peer(self, vm: str) -> None:
        """Take it that a peer is not heard any more.

        It may have ended, and its requests with it, or be cut off from here while engines go on
        with them. They are counted until they should have ended.
        """
        self._lost_runs_by_vm[vm] = self._runs_by_vm.pop(vm, ())

    def note_refused(self, engine: str, tokens: int, until: float) -> None:
        """Note that an engine had no room for so many tokens; believed until a run ends there."""
        self._refused_by_engine[engine] = (until, tokens)

    def runs_at(self, engine: str, now: float) -> list[GrowingRun]:
        """Return the runs of all VMs at an engine."""
        return self._runs_by_engine(now).get(engine, [])

    def held(self, engine: str, now: float) -> int:
        """Return the tokens that the runs of all VMs hold at an engine."""
        return sum(run.tokens for run in self.runs_at(engine, now))

    def expected(self, engines: Sequence[EngineEntry], now: float) -> int:
        """Return the tokens that the runs of all VMs at these engines will have at their ends."""
        runs_by_engine = self._runs_by_engine(now)
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
    ) -> list[EngineEntry]:
        """Return the engines whose memory suffices for one more run, the emptiest first."""
        runs_by_engine = self._runs_by_engine(now)
        peak_by_id = {
            engine.id: peak_tokens([*runs_by_engine.get(engine.id, ()), run])
            for engine in engines
            if not self._is_refused(engine.id, run, now)
        }
        fitting = [engine for engine in engines if peak_by_id.get(engine.id, usable + 1) <= usable]
        step, far = int(ALIKE_SHARE * usable), int(FAR_SHARE * usable)
        return by_preference(fitting, peak_by_id, step, placer, far)

    def _runs_by_engine(self, now: float) -> dict[str, list[GrowingRun]]:
        runs_by_engine: dict[str, list[GrowingRun]] = {}
        for part in (self._own_by_key.values(), *self._runs_by_vm.values()):
            for seen in part:
                runs_by_engine.setdefault(seen.engine, []).append(self._run_at(seen, now))
        for part in self._lost_runs_by_vm.values():
            for seen in part:
                run = self._run_at(seen, now)
                if run.remaining > 0:
                    runs_by_engine.setdefault(seen.engine, []).append(run)
        return runs_by_engine

    def _is_refused(self, engine: str, run: GrowingRun, now: float) -> bool:
        until, tokens = self._refused_by_engine.get(engine, (now, 0))
        return now < until and run.tokens >= tokens

    def _count(self, vm: str, engine: str) -> int:
        return sum(seen.engine == engine for seen in self._runs_by_vm.get(vm, ()))

    def _run_at(self, seen: _Seen, now: float) -> GrowingRun:
        return seen.run.after(int(max(0.0, now - seen.at) * self.tokens_per_second))
