"""Replayed loads of several priorities and workspaces before one pool of engines, in virtual time.

Gateways ask the coordinator for memory, repeat requests while they wait, and report what runs. A
caller sends a refused request once more when it is told to. The coordinator may be killed, and
another one begins without knowledge, or be suspended for a time too short to be noticed.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field, fields

from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.pool_placement import PoolPlacement, StreamNeed
from pimentoquay.policy.stream_admission import AdmissionLimits, StreamTimes, patience_seconds

USABLE = 91_912
HOLD_SECONDS, GAP_SECONDS, WORK_SECONDS = 3.2, 0.3, AdmissionLimits().work_seconds
MEAN_TOKENS = 9_500
STEP, REPORT_SECONDS, REPEAT_SECONDS, TAKEOVER_SECONDS = 0.02, 0.8, 0.5, 1.0
HOLD_NEW_SECONDS, HOLD_STALLED_SECONDS = 0.5, 0.1
TARGET_BY_PRIORITY = {0: 0.87, 1: 0.87, 2: 2.02}
CAPACITY_PER_ENGINE = USABLE / MEAN_TOKENS / HOLD_SECONDS
"""Streams a second that the memory of one engine allows."""


def engines(count):
    return [
        EngineEntry(f"e{n}", "llm", "10.0.0.1:1", "hall", False, 12, EngineStage.DECODE)
        for n in range(count)
    ]


@dataclass(frozen=True)
class Sent:
    """A request of a caller; ``attempt`` is 1 for the second one."""

    at: float
    priority: int
    workspace: str
    tokens: int
    seconds: float
    vm: str
    first_at: float
    attempt: int = 0


@dataclass
class Outcome:
    """What became of the requests of one kind; times in seconds."""

    sent: int = 0
    in_time: int = 0
    served: int = 0
    refused: int = 0
    refused_at_once: int = 0
    retry_after: list = field(default_factory=list)

    def __add__(self, other):
        names = [each.name for each in fields(self)]
        return Outcome(*(getattr(self, name) + getattr(other, name) for name in names))


def arrivals(seed, rate_of, seconds, priority, workspace="", vms=60):
    """Return requests that arrive at random at the rate ``rate_of(time)`` a second."""
    rng = random.Random(f"{seed} {priority} {workspace}")
    now, requests = 0.0, []
    while now < seconds:
        rate = rate_of(now)
        now += rng.expovariate(rate) if rate > 0 else 0.1
        if rate > 0:
            tokens, hold = rng.randint(5_000, 14_000), HOLD_SECONDS * rng.uniform(0.7, 1.3)
            vm = f"vm-{rng.randrange(vms)}"
            requests.append(Sent(now, priority, workspace, tokens, hold, vm, now))
    return requests


class PoolLoad:
    """One replay; ``faults`` lists ("kill" or "suspend", time).

    Parameters
    ----------
    requests
        What callers send.
    count
        Number of decode engines.
    faults
        Failures of the coordinator.
    told_priority
        Priority that gateways tell the coordinator of all streams, with no workspace; None for that
        of each.
    """

    def __init__(self, requests, count=12, faults=(), told_priority=None):
        self.due: dict[int, list[Sent]] = defaultdict(list)
        for each in requests:
            self._schedule(each)
        self.last_step = max(self.due)
        self.engines = engines(count)
        self.faults = sorted((at, kind) for kind, at in faults)
        self.told_priority = told_priority
        self.pool = PoolPlacement("hall", 0.0)
        self.waiting = {}
        self.running = []
        self.outcome_by_class = defaultdict(Outcome)
        self.order = []
        self.number = 0

    def _schedule(self, request):
        self.due[int(request.at / STEP) + 1].append(request)

    def run(self):
        """Replay the load; return the outcomes by priority and workspace."""
        step, down_until = 0, 0.0
        while step <= self.last_step or self.waiting:
            now = step * STEP
            self._end_runs(now)
            for request in self.due.pop(step, ()):
                self._send(request, now)
            while self.faults and self.faults[0][0] <= now:
                _, kind = self.faults.pop(0)
                down_until = now + (TAKEOVER_SECONDS if kind == "kill" else 0.9)
                if kind == "kill":
                    self.pool = PoolPlacement("hall", down_until)
                if self.told_priority is None:
                    held = HOLD_NEW_SECONDS if kind == "kill" else HOLD_STALLED_SECONDS
                    self.pool.hold_lower(0, down_until + held)
            if now >= down_until:
                self._coordinate(step, now)
            for key, waiting in tuple(self.waiting.items()):
                if now > waiting[0].leaves_at:
                    del self.waiting[key]
                    self.pool.cancel(key)
            step += 1
        return self.outcome_by_class

    def _send(self, request, now):
        self.number += 1
        target = TARGET_BY_PRIORITY[request.priority]
        leaves_at = request.first_at + patience_seconds(target, GAP_SECONDS)
        times = StreamTimes(request.at, request.first_at + target, leaves_at)
        self.waiting[request.vm, str(self.number)] = [times, request, float("-inf"), now]
        if not request.attempt:
            self._outcome(request).sent += 1

    def _outcome(self, request):
        return self.outcome_by_class[request.priority, request.workspace]

    def _need(self, times, request):
        told = (self.told_priority, "")
        if self.told_priority is None:
            told = request.priority, request.workspace
        run = GrowingRun(request.tokens, 0)
        return StreamNeed(run, request.tokens, 5200, times, True, "", *told)

    def _coordinate(self, step, now):
        # All report to another coordinator at once, since engines that refuse are not simulated.
        if step % int(REPORT_SECONDS / STEP) == 0 or not self.pool.is_settled(now):
            self._report(now)
        for key in self.pool.expire(now):
            self._refuse(key, 0.5, now)
        for key, waiting in tuple(self.waiting.items()):
            times, request, asked_at, _ = waiting
            if key not in self.waiting or now - asked_at < REPEAT_SECONDS:
                continue
            waiting[2] = now
            is_new = self.pool.request(key, self._need(times, request), now)
            self._place(now)
            if is_new and self.pool.is_waiting(key):
                decision = self.pool.refuse_long_wait(key, self.engines, now)
                if not decision.should_wait:
                    self._refuse(key, decision.seconds, now)
        for key, _, decision in self.pool.displace(self.engines, now):
            self._refuse(key, decision.seconds, now)
        self._place(now)

    def _place(self, now):
        while (placed := self.pool.place_next(self.engines, USABLE, now)) is not None:
            key, engine = placed
            self.pool.grant(key, engine, None, now)
            _, request, _, _ = self.waiting.pop(key)
            outcome = self._outcome(request)
            outcome.served += 1
            target = TARGET_BY_PRIORITY[request.priority]
            outcome.in_time += now + WORK_SECONDS <= request.first_at + target + STEP
            self.order.append((round(now, 3), request))
            self.running.append((now + request.seconds, key[0], engine.id, request))

    def _refuse(self, key, seconds, now):
        _, request, _, sent_at = self.waiting.pop(key)
        outcome = self._outcome(request)
        outcome.refused += 1
        outcome.refused_at_once += now - sent_at <= 2 * STEP
        outcome.retry_after.append(seconds)
        self.order.append((round(now, 3), request, round(seconds, 3)))
        if not request.attempt:
            again = Sent(
                now + seconds,
                request.priority,
                request.workspace,
                request.tokens,
                request.seconds,
                request.vm,
                request.first_at,
                1,
            )
            self._schedule(again)
            self.last_step = max(self.last_step, int(again.at / STEP) + 1)

    def _end_runs(self, now):
        ended = [each for each in self.running if each[0] <= now]
        if ended:
            self.running = [each for each in self.running if each[0] > now]
            self.pool.record_finished(len(ended), sum(each[3].seconds for each in ended))
            self._report(now, {vm for _, vm, _, _ in ended})

    def _report(self, now, vms=None):
        by_vm: dict[str, dict[str, tuple[GrowingRun, ...]]] = defaultdict(
            lambda: defaultdict(tuple)
        )
        for _, vm, engine, request in self.running:
            by_vm[vm][engine] += (GrowingRun(request.tokens, 0),)
        known = set(self.pool._reported_at_by_vm)
        for vm in sorted(vms or known | by_vm.keys()):
            self.pool.apply_report(vm, dict(by_vm.get(vm, {})), {}, 10**9, now)


def burst(calm, peak, period=15.0, length=5.0):
    """Return a rate that is ``peak`` for ``length`` seconds of each period, else ``calm``."""
    return lambda now: peak if now % period >= period - length else calm
