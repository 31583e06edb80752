"""Replayed load of prompts at prefill engines of different speed, without a network."""

import random
from dataclasses import dataclass, field

from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.engine_speeds import EngineSpeeds, PrefillSample
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.granted_prefills import GrantedPrefills
from pimentoquay.policy.prefill_choice import choose_prefill_engine
from pimentoquay.policy.tests.virtual_vms import EventQueue
from pimentoquay.policy.token_ledger import TokenLedger

NOMINAL_TOKENS_PER_SECOND = 55_600.0
MEAN_PROMPT = 5_200
BURST_PERIOD_SECONDS, BURST_SECONDS = 10.0, 2.0


def prefill_engine(number, incarnation=1):
    name = f"pre-{number}"
    return EngineEntry(
        name, "llm", "10.0.0.1:1", "hall", False, 64, EngineStage.PREFILL, incarnation
    )


@dataclass
class PrefillReplay(EventQueue):
    """A coordinator that grants prefill engines to prompts of many gateways.

    The coordinator knows its grants at once. It learns ``report_seconds`` late which prompts are
    done and how long the fastest of each second took. An engine reads one prompt after another.

    Parameters
    ----------
    factors
        Speeds of the engines relative to the nominal one.
    load
        Mean load relative to the capacity; in a burst it is ``burst`` times that.
    learns
        Whether the speeds of engines are measured.
    """

    factors: tuple[float, ...]
    load: float
    burst: float = 2.0
    seed: int = 1
    gateways: int = 60
    seconds: float = 40.0
    report_seconds: float = 0.2
    learns: bool = True
    may_overflow: bool = False
    speeds: EngineSpeeds = field(default_factory=EngineSpeeds)
    started_at: float = 0.0

    def __post_init__(self):
        super().__init__(self.seed)
        self.engines = [prefill_engine(number) for number in range(len(self.factors))]
        self.factor_by_id = {
            engine.id: factor for engine, factor in zip(self.engines, self.factors, strict=True)
        }
        self.ledger = TokenLedger()
        self.granted = GrantedPrefills()
        self.done = []
        self.count_by_id = dict.fromkeys(self.factor_by_id, 0)
        self.overflowed = 0
        self._free_at = dict.fromkeys(self.factor_by_id, 0.0)
        self._fastest = {}
        self.placer = Placer("", "hall")

    def run(self):
        """Play the load; return this replay."""
        capacity = sum(self.factors) * NOMINAL_TOKENS_PER_SECOND / MEAN_PROMPT
        quiet_seconds = BURST_PERIOD_SECONDS - BURST_SECONDS
        quiet = (BURST_PERIOD_SECONDS - self.burst * BURST_SECONDS) / quiet_seconds
        now = 0.0
        while now < self.seconds:
            is_burst = now % BURST_PERIOD_SECONDS < BURST_SECONDS
            rate = capacity * self.load * (self.burst if is_burst else quiet)
            now += self.random.expovariate(rate)
            self.at(now, self._arrive)
        self.run_all()
        return self

    def share_done_within(self, seconds, since=0.0):
        """Return the share of the prompts that were prefilled within a time."""
        times = [took for began, took in self.done if began >= since]
        return sum(took <= seconds for took in times) / len(times)

    def quantile(self, share=0.95, since=0.0):
        """Return the seconds within which a share of the prompts was prefilled."""
        times = sorted(took for began, took in self.done if began >= since)
        return times[int(share * len(times))]

    def _arrive(self):
        tokens = int(random.Random(self.random.random()).lognormvariate(8.45, 0.45))
        tokens = max(600, min(tokens, 20_000))
        engine = choose_prefill_engine(
            self.engines, self.ledger, self.speeds, self.placer, self.may_overflow, tokens, self.now
        )
        if engine is None:
            self.overflowed += 1
            return
        vm = f"vm-{self.random.randrange(self.gateways)}"
        self.count_by_id[engine.id] += 1
        self.granted.add(vm, engine.id, tokens, self.ledger.held(engine.id), self.now)
        self.ledger.take(engine.id, tokens)
        speed = self.factor_by_id[engine.id] * NOMINAL_TOKENS_PER_SECOND
        done_at = max(self.now, self._free_at[engine.id]) + tokens / speed
        self._free_at[engine.id] = done_at
        self.at(done_at, self._finish, vm, engine, tokens, self.now)

    def _finish(self, vm, engine, tokens, began_at):
        seconds = self.now - began_at
        self.done.append((began_at, seconds))
        self.at(self.now + self.report_seconds, self._release, engine, tokens)
        if self.learns:
            key = vm, engine
            known = self._fastest.get(key)
            if known is None:
                self.at(self.now + 1.0 + self.report_seconds, self._measure, key)
            if known is None or seconds * known[0] < known[1] * tokens:
                self._fastest[key] = tokens, seconds

    def _release(self, engine, tokens):
        self.ledger.release(engine.id, tokens)

    def _measure(self, key):
        vm, engine = key
        tokens, seconds = self._fastest.pop(key)
        ahead = self.granted.ahead(vm, engine.id, tokens, self.now)
        self.speeds.record(engine.start, PrefillSample(tokens, seconds, ahead), self.now)
