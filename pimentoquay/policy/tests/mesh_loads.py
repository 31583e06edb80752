"""Replayed loads of several priorities and workspaces at the gateways of a full mesh.

Each gateway serves its own queue and hears of the others' after a delay. Engines refuse what does
not fit.
"""

import random
from collections import defaultdict
from dataclasses import replace

from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.service_order import Supply
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    QueuedTokens,
    ReleaseRate,
    StreamTimes,
    patience_seconds,
)
from pimentoquay.policy.stream_queue import StreamQueue, WaitingStream
from pimentoquay.policy.tests.priority_loads import (
    GAP_SECONDS,
    STEP,
    TARGET_BY_PRIORITY,
    USABLE,
    WORK_SECONDS,
    Outcome,
    Sent,
    engines,
)

LIMITS = AdmissionLimits()
DELAY_STEPS = 5
"""Steps of 0.02 s after which gateways hear of each other's queues."""


class MeshLoad:
    """One replay at ``vms`` gateways; ``is_told`` says whether they use priorities and workspaces.

    Parameters
    ----------
    requests
        What callers send.
    count
        Number of decode engines.
    """

    def __init__(self, requests, count, vms=7, is_told=True):
        self.due: dict[int, list[Sent]] = defaultdict(list)
        for each in requests:
            self._schedule(each)
        self.is_told = is_told
        self.engines = engines(count)
        self.free = {each.id: USABLE for each in self.engines}
        self.queues = [StreamQueue(LIMITS) for _ in range(vms)]
        self.rates = [ReleaseRate() for _ in range(vms)]
        self.request_by_stream = {}
        self.running = []
        self.outcome_by_class = defaultdict(Outcome)
        self.told = [[QueuedTokens(0, 0)] * vms]
        self.random = random.Random(1)

    def run(self):
        """Replay the load; return the outcomes by priority and workspace."""
        step = 0
        while self.due or any(len(each) for each in self.queues):
            now = step * STEP
            self._end_runs(now)
            for request in self.due.pop(step, ()):
                self._arrive(request, now)
            for vm in self.random.sample(range(len(self.queues)), len(self.queues)):
                for stream in list(self.queues[vm]):
                    self._serve(stream, vm, now)
            self.told = [*self.told[-DELAY_STEPS:], [each.queued(now) for each in self.queues]]
            step += 1
        return self.outcome_by_class

    def _schedule(self, request):
        self.due[int(request.at / STEP) + 1].append(request)

    def _end_runs(self, now):
        for _, engine, tokens, vm, seconds in [each for each in self.running if each[0] <= now]:
            self.free[engine] += tokens
            self.rates[vm].record(seconds)
        self.running = [each for each in self.running if each[0] > now]

    def _outcome(self, request):
        return self.outcome_by_class[request.priority, request.workspace]

    def _peers(self, vm):
        others = [each for number, each in enumerate(self.told[0]) if number != vm]
        return QueuedTokens(
            sum(each.tokens for each in others), sum(each.urgent_tokens for each in others)
        )

    def _arrive(self, request, now):
        vm = int(request.vm.removeprefix("vm-")) % len(self.queues)
        target = TARGET_BY_PRIORITY[request.priority]
        leaves_at = request.first_at + patience_seconds(target, GAP_SECONDS)
        times = StreamTimes(request.at, request.first_at + target, leaves_at)
        told = (request.priority, request.workspace) if self.is_told else (0, "")
        need = MemoryNeed(request.tokens, 0, 0)
        stream, queue = WaitingStream(need, times, "", frozenset(), *told), self.queues[vm]
        self.request_by_stream[stream] = request, now
        if not request.attempt:
            self._outcome(request).sent += 1
        queue.record_arrival(stream, now)
        if queue.is_next(stream, self._peers(vm), now) and self._place(stream, vm, now):
            return
        decision = self._decide(stream, vm, now)
        if decision.should_wait:
            queue.add(stream)
        else:
            self._refuse(stream, decision.seconds, now)

    def _serve(self, stream, vm, now):
        queue = self.queues[vm]
        if now > stream.times.leaves_at - LIMITS.work_seconds:
            queue.remove(stream)
            self._refuse(stream, 0.5, now)
        elif queue.is_next(stream, self._peers(vm), now):
            if self._place(stream, vm, now):
                queue.remove(stream)
        elif queue.may_be_displaced(stream, now):
            decision = self._decide(stream, vm, now)
            if not decision.should_wait:
                queue.remove(stream)
                self._refuse(stream, decision.seconds, now)

    def _decide(self, stream, vm, now):
        held = sum(each[2] for each in self.running)
        supply = Supply(self.rates[vm].tokens_per_second(held), len(self.queues))
        return self.queues[vm].decide(stream, self.engines, 1.0, self._peers(vm), supply, now)

    def _place(self, stream, vm, now):
        engine = max(self.free, key=lambda each: self.free[each])
        if self.free[engine] < stream.tokens:
            return False
        request, _ = self.request_by_stream.pop(stream)
        outcome = self._outcome(request)
        outcome.served += 1
        outcome.in_time += now + WORK_SECONDS <= stream.times.late_at + STEP
        self.free[engine] -= stream.tokens
        self.running.append((now + request.seconds, engine, stream.tokens, vm, request.seconds))
        self.queues[vm].record_served(stream)
        return True

    def _refuse(self, stream, seconds, now):
        request, sent_at = self.request_by_stream.pop(stream)
        outcome = self._outcome(request)
        outcome.refused += 1
        outcome.refused_at_once += now - sent_at <= 2 * STEP
        outcome.retry_after.append(seconds)
        if not request.attempt:
            self._schedule(replace(request, at=now + seconds, attempt=1))
