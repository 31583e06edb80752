"""Virtual time for seeded loads of many VMs that are cut off and start again."""

import heapq
import itertools
import random


class EventQueue:
    """Calls in the order of their times; ``now`` is the time of the last one, in seconds."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self._order = itertools.count()
        self._events = []

    def next_number(self):
        """Return a number that was not returned before."""
        return next(self._order)

    def at(self, when, call, *arguments):
        """Make a call at a time."""
        heapq.heappush(self._events, (when, next(self._order), call, *arguments))

    def run_all(self):
        """Make all calls, also those that they add."""
        while self._events:
            self.now, _, call, *arguments = heapq.heappop(self._events)
            call(*arguments)


class GossipingVms(EventQueue):
    """VMs that tell each other evidence of crashes, some of which are cut off or start again.

    ``known`` is what each VM knows. Evidence reaches each other VM after up to ``delay`` seconds,
    or when a cut of either VM is over. A VM that starts again is told by another one.
    """

    def __init__(self, seed, vms, delay, new_knowledge):
        super().__init__(seed)
        self.vms = vms
        self.delay = delay
        self._new_knowledge = new_knowledge
        self.known = [new_knowledge() for _ in range(vms)]
        self._cut_until = [float("-inf")] * vms
        self._back_at = [float("-inf")] * vms

    def is_in_touch(self, vm, contact_seconds):
        """Return whether a VM was neither cut off nor started again for some time."""
        return self.now > max(self._cut_until[vm], self._back_at[vm]) + contact_seconds

    def trouble(self, seconds):
        """Let VMs start again or be cut off at random times up to ``seconds``."""
        for _ in range(self.vms):
            vm, when = self.random.randrange(self.vms), self.random.uniform(2.0, seconds)
            if self.random.random() < 0.5:
                self.at(when, self._restart, vm)
            else:
                self.at(when, self._cut, vm, self.random.uniform(1.0, 5.0))

    def learn(self, vm, reports, clearances=()):
        """Let a VM learn evidence, and tell the others what of it was new."""
        self.tell(vm, *self.known[vm].add(reports, clearances, self.now))

    def tell(self, vm, reports, clearances):
        """Let a VM tell the others evidence."""
        if reports or clearances:
            self.tell_others(vm, self._receive, reports, clearances)

    def tell_others(self, vm, receive, *arguments):
        """Call ``receive`` for each other VM after a delay of its own, unless the sender is cut."""
        if self._cut_until[vm] > self.now:
            return
        for other in range(self.vms):
            if other != vm:
                delay = self.random.uniform(0.001, self.delay)
                self.at(self.now + delay, self._deliver, other, receive, arguments)

    def _deliver(self, vm, receive, arguments):
        if self._cut_until[vm] > self.now:
            self.at(self._cut_until[vm] + 0.01, self._deliver, vm, receive, arguments)
        else:
            receive(vm, *arguments)

    def _receive(self, vm, reports, clearances):
        _, cleared_here = self.known[vm].add(reports, clearances, self.now)
        self.tell(vm, (), tuple(each for each in cleared_here if each not in clearances))

    def _restart(self, vm):
        self.known[vm] = self._new_knowledge()
        self._back_at[vm] = self.now
        self._exchange(vm)

    def _cut(self, vm, seconds):
        self._cut_until[vm] = max(self._cut_until[vm], self.now + seconds)
        self.at(self._cut_until[vm], self._heal, vm)

    def _heal(self, vm):
        if self._cut_until[vm] <= self.now:
            self._back_at[vm] = self.now
            self._exchange(vm)

    def _exchange(self, vm):
        """Exchange all that is known with another VM, as new channels do."""
        others = [n for n in range(self.vms) if n != vm and self._cut_until[n] <= self.now]
        if others and self._cut_until[vm] <= self.now:
            own, peer = self.known[vm], self.known[self.random.choice(others)]
            self.tell(vm, own.reports, own.clearances)
            self.learn(vm, peer.reports, peer.clearances)
