"""Replay of allowances without a network, with messages that take 5 to 200 ms, and failures."""

import heapq
import itertools
import random
from collections import Counter

from pimentoquay.messages.allowances import (
    AllowanceAsk,
    AllowanceReply,
    AllowanceReturned,
    Lease,
    LeaseRequest,
)
from pimentoquay.policy.allowance_holder import AllowanceHolder
from pimentoquay.policy.allowance_leases import LeaseVoter, Members, workspace_rank
from pimentoquay.policy.allowances import AllowanceGranter, GranterBounds
from pimentoquay.policy.workspaces import Allowance

RATE = 146_402.0
WINDOW = 8.0
PATIENCE = 2.0


class ReplayedGateway:
    """One start of a gateway, with the VMs that it knows."""

    def __init__(self, replay, vm, known):
        self.replay, self.vm, self.started_at = replay, vm, replay.now
        self.frozen_until, self.inbox = 0.0, []
        self.members = Members()
        self.members.update(known, replay.now)
        self.voter = LeaseVoter(replay.now)
        self.session = next(replay.numbers)
        self.granter = AllowanceGranter(vm, self.members, self.session, GranterBounds())
        self.holder = AllowanceHolder(self.session << 32)
        self.units_by_number = {}
        self.granters_by_list = {}

    def receive(self, source, message):
        now = self.replay.now
        if isinstance(message, LeaseRequest):
            lease = self.voter.lend(source, message, len(self.members.adopted), now)
            if lease is not None:
                self.replay.send(self.vm, source, lease)
        elif isinstance(message, Lease):
            self.granter.record_lease(source, message, now)
        elif isinstance(message, AllowanceAsk):
            self.send(self.granter.ask(source, message, now))
        elif isinstance(message, AllowanceReturned):
            self.granter.give_back(source, message, now)
        elif isinstance(message, AllowanceReply):
            decision, sent = self.holder.receive(source, message, now)
            self.send(sent)
            if decision is not None:
                self.decide(decision)

    def tick(self):
        now = self.replay.now
        self.members.update(self.members.known, now)
        self.holder.update_granters(self.members.granters)
        if self.is_granter():
            self.send(self.granter.tick(now))
        decisions, sent = self.holder.tick(now)
        self.send(sent)
        for decision in decisions:
            self.decide(decision)

    def is_granter(self):
        """Whether this gateway may grant; those far behind in the order only cost time here."""
        first = self.granters_by_list.get(self.members.granters)
        if first is None:
            granters = self.members.granters
            first = heapq.nsmallest(12, granters, key=lambda vm: workspace_rank("w", vm))
            self.granters_by_list = {granters: first}
        return self.vm in first

    def send(self, outgoing):
        for each in outgoing:
            self.replay.send(self.vm, each.vm, each.message)

    def request(self, units):
        replay = self.replay
        if self.holder.refusal("w", units, replay.now) is not None:
            replay.record_end(self, "refused", units)
            return
        number, sent = self.holder.ask(
            "w", replay.version, replay.allowance, units, PATIENCE, replay.now
        )
        self.units_by_number[number] = units
        self.send(sent)

    def decide(self, decision):
        units = self.units_by_number.pop(decision.number)
        replay, outcome = self.replay, "run" if decision.is_granted else "refused"
        outcome = outcome if decision.is_counted else "undecided"
        if decision.is_granted and replay.is_memory_full():
            replay.at(replay.memory_free_at, replay.record_end, self, outcome, units)
        else:
            replay.record_end(self, outcome, units)


class Replay:
    """Gateways in four data centres, requests of one workspace, and what became of them."""

    def __init__(self, count, seed=1, load=0.7, initial=None, loss=0.01):
        self.random = random.Random(seed)
        self.now, self.version, self.load, self.loss = 0.0, 1, load, loss
        self.allowance = Allowance(RATE, RATE, True, 200.0)
        self.numbers = itertools.count(1)
        self.dc_by_vm = {f"vm-{number}": f"dc-{number % 4}" for number in range(count)}
        self.vms = sorted(self.dc_by_vm)
        self.side_by_vm = {}
        self.events: list = []
        self.ended: list[tuple[float, str, float]] = []
        self.outcomes: Counter[str] = Counter()
        self.count_by_type: Counter[str] = Counter()
        self.gateway_by_vm: dict[str, ReplayedGateway] = {}
        self.zone = ""
        # Requests that are granted between these times wait for memory and run at the second one.
        self.memory_full_at = self.memory_free_at = 0.0
        for vm in sorted(self.dc_by_vm)[: initial or count]:
            self.start(vm, initial or count)
        self.at(3.0, self.arrive)

    def at(self, time, call, *arguments):
        heapq.heappush(self.events, (time, next(self.numbers), call, arguments))

    def start(self, vm, known=None):
        vms = sorted(self.dc_by_vm)[:known]
        gateway = ReplayedGateway(self, vm, {each: self.dc_by_vm[each] for each in vms})
        self.gateway_by_vm[vm] = gateway
        self.at(self.now + self.random.random() * 0.05, self.tick, gateway)

    def tick(self, gateway: ReplayedGateway) -> None:
        if self.gateway_by_vm.get(gateway.vm) is not gateway:
            return
        is_busy = gateway.is_granter() or gateway.holder.is_waiting
        self.at(self.now + (0.05 if is_busy else 0.25), self.tick, gateway)
        if self.now >= gateway.frozen_until:
            for source, message in gateway.inbox:
                gateway.receive(source, message)
            gateway.inbox = []
            gateway.tick()

    def send(self, source, target, message):
        self.count_by_type[type(message).__name__] += 1
        if source == target:
            self.at(self.now, self.deliver, source, target, message)
        elif self.random.random() >= self.loss:
            self.at(
                self.now + self.random.uniform(0.005, 0.2), self.deliver, source, target, message
            )

    def deliver(self, source, target, message):
        gateway = self.gateway_by_vm.get(target)
        if gateway is None or self.side_by_vm.get(source) != self.side_by_vm.get(target):
            return
        if self.now < gateway.frozen_until:
            gateway.inbox.append((source, message))
        else:
            gateway.receive(source, message)

    def arrive(self):
        units = self.random.uniform(5_000.0, 14_000.0)
        self.at(self.now + units / (RATE * self.load), self.arrive)
        for _ in range(1000):
            vm = self.random.choice(self.vms)
            gateway = self.gateway_by_vm.get(vm)
            if gateway is None or not self.dc_by_vm[vm].startswith(self.zone):
                continue
            if self.now >= max(gateway.frozen_until, gateway.started_at + 1.0):
                gateway.request(units)
                return

    def is_memory_full(self):
        return self.memory_full_at <= self.now < self.memory_free_at

    def record_end(self, gateway, outcome, units):
        self.ended.append((self.now, outcome, units))
        self.outcomes[outcome] += 1

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        self.now = until

    def granter(self):
        """Return the VM that grants now."""
        return max(self.gateway_by_vm.values(), key=lambda each: each.granter.leases.part("w")).vm

    def cut(self, vms):
        self.side_by_vm = {vm: "away" for vm in vms}

    def most_in_window(self, start=0.0, window=WINDOW):
        """Return the most units that ran in any window that begins after ``start``."""
        runs = [(at, units) for at, outcome, units in self.ended if outcome == "run" and at > start]
        most, total, first = 0.0, 0.0, 0
        for at, units in runs:
            total += units
            while runs[first][0] < at - window:
                total -= runs[first][1]
                first += 1
            most = max(most, total)
        return most

    def used(self, start, end):
        """Return the units a second that ran between two times."""
        return sum(u for at, o, u in self.ended if o == "run" and start <= at < end) / (end - start)

    def refused(self):
        """Return the share of requests that did not run."""
        return 1.0 - self.outcomes["run"] / max(1, self.outcomes.total())
