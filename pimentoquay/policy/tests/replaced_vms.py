"""Replay of allowances while machines are replaced, with the records of VMs in a store."""

import itertools
import math
from typing import Any

from pimentoquay.policy.mesh_plan import needs_relays
from pimentoquay.policy.tests.allowance_replay import Replay, ReplayedGateway
from pimentoquay.policy.vm_liveness import (
    NO_NEWS_SECONDS,
    READ_SECONDS,
    REMOVED_SECONDS,
    VmLiveness,
    least_votes,
)

LOOK_SECONDS = 0.25
RESTART_SECONDS = 1.0
NEWS_SECONDS = 0.8


class RecordedGateway(ReplayedGateway):
    """A gateway that keeps its record in the store, and finds the VMs that are gone."""

    def __init__(self, replay, vm, known):
        super().__init__(replay, vm, known)
        self.known = dict(known)
        self.removed_at = {}
        self.position_by_vm = {}
        self.liveness = VmLiveness(vm)
        self.news_at, self.read_at = replay.now, -math.inf

    def tick(self):
        now = self.replay.now
        if self.members.known != self.known:
            self.members.update(dict(self.known), now)
        self.granter.leases.least_votes = least_votes(now - self.news_at)
        super().tick()

    def remove(self, vm, position):
        """Count a VM for a while only, if its known record is not newer than a position."""
        if position < self.position_by_vm.get(vm, -1):
            return
        if vm == self.vm:
            if self.has_news():
                self.replay.write(vm)
            return
        self.position_by_vm[vm] = position
        if vm in self.known:
            self.removed_at.setdefault(vm, self.replay.now)

    def has_news(self):
        return self.replay.now - self.news_at <= NEWS_SECONDS

    def add(self, vm, data_centre, position):
        if position > self.position_by_vm.get(vm, -1):
            self.position_by_vm[vm] = position
            self.known[vm] = data_centre
            self.removed_at.pop(vm, None)

    def read(self):
        """Apply the records in the store, and write the own one if it is missing."""
        records, position = self.replay.record_by_vm, self.replay.position
        if self.vm not in records:
            self.replay.write(self.vm)
        for vm in self.known.keys() - records.keys():
            self.remove(vm, position)
        for vm, record in records.items():
            self.add(vm, *record)

    def look(self, is_reader, has_relays):
        """Apply what is heard, and remove the records of VMs that are gone."""
        replay, now = self.replay, self.replay.now
        heard = replay.side(self.vm)
        heard_at = {vm: replay.now - replay.random.uniform(0.0, 0.4) for vm in heard}
        self.liveness.update(self.known, heard_at, now)
        for vm in [vm for vm, at in self.removed_at.items() if now - at > REMOVED_SECONDS]:
            del self.known[vm], self.removed_at[vm]
        counted = {vm: dc for vm, dc in self.known.items() if vm not in self.removed_at}
        gone = self.liveness.gone(counted, now, has_relays, is_reader)
        if not self.has_news() or (now - self.read_at < READ_SECONDS and not gone):
            return
        if not self.liveness.missing(now, has_relays) and not (self.removed_at and is_reader):
            return
        self.read_at = now
        records = replay.record_by_vm
        new = records.keys() - (self.known.keys() - self.removed_at.keys())
        self.read()
        if is_reader:
            for vm in self.known.keys() - records.keys():
                replay.tell(heard, "remove", vm, replay.position)
        for vm in new:
            replay.tell(heard, "add", vm, *records[vm])
        for vm in gone - self.removed_at.keys():
            self.liveness.record_removal(vm, now)
            if vm in records:
                del records[vm]
                replay.position += 1
            self.remove(vm, replay.position)
            replay.tell(heard, "remove", vm, replay.position)


class ReplacedReplay(Replay):
    """Gateways whose machines are replaced, and a store that some sides of a cut don't reach.

    ``old_names`` is the number of names of machines that are gone, in the store from the start.
    """

    gateway_by_vm: dict[str, Any]

    def __init__(self, count, old_names=0, **options):
        names = [f"vm-{number}" for number in range(count)]
        names += [f"old-{number}" for number in range(old_names)]
        self.record_by_vm = {vm: (f"dc-{int(vm.split('-')[1]) % 4}", 0) for vm in names}
        self.position = 0
        self.new_names = itertools.count(1)
        self.sides_without_store = set()
        super().__init__(count, **options)
        self.at(LOOK_SECONDS, self.look)

    def start(self, vm, known=None):
        known = {each: data_centre for each, (data_centre, _) in self.record_by_vm.items()}
        gateway = RecordedGateway(self, vm, known)
        gateway.position_by_vm = {each: at for each, (_, at) in self.record_by_vm.items()}
        self.gateway_by_vm[vm] = gateway
        self.at(self.now + self.random.random() * 0.05, self.tick, gateway)

    def side(self, vm):
        """Return the VMs that a VM hears."""
        own = self.side_by_vm.get(vm)
        return [
            each
            for each, gateway in self.gateway_by_vm.items()
            if each != vm and self.side_by_vm.get(each) == own and self.now >= gateway.frozen_until
        ]

    def write(self, vm):
        self.position += 1
        self.record_by_vm[vm] = self.dc_by_vm[vm], self.position
        if vm in self.gateway_by_vm:
            self.gateway_by_vm[vm].position_by_vm[vm] = self.position
            self.tell(self.side(vm), "add", vm, *self.record_by_vm[vm])

    def cut(self, vms):
        """Cut VMs off from the others; at the end, all tell the others their own records."""
        super().cut(vms)
        for vm, gateway in self.gateway_by_vm.items() if not vms else ():
            for other in self.gateway_by_vm.values():
                other.add(vm, self.dc_by_vm[vm], gateway.position_by_vm[vm])

    def tell(self, vms, call, *arguments):
        for vm in vms:
            gateway = self.gateway_by_vm[vm]
            self.at(self.now + self.random.uniform(0.005, 0.2), getattr(gateway, call), *arguments)

    def look(self):
        """Let the gateways look that hear all others, themselves or by relays."""
        self.at(self.now + LOOK_SECONDS, self.look)
        first_by_side: dict[str | None, str] = {}
        awake = [vm for vm, each in self.gateway_by_vm.items() if self.now >= each.frozen_until]
        for vm in sorted(awake):
            first_by_side.setdefault(self.side_by_vm.get(vm), vm)
        for vm in awake:
            gateway, side = self.gateway_by_vm[vm], self.side_by_vm.get(vm)
            if side not in self.sides_without_store:
                has_missed_news = self.now - gateway.news_at >= NO_NEWS_SECONDS
                gateway.news_at = self.now
                if has_missed_news:
                    gateway.read()
            is_reader = first_by_side[side] == vm
            has_relays = needs_relays(len(gateway.known))
            if is_reader or not has_relays:
                gateway.look(is_reader, has_relays)
            else:
                for each, at in tuple(gateway.removed_at.items()):
                    if self.now - at > REMOVED_SECONDS:
                        del gateway.known[each], gateway.removed_at[each]

    def replace(self, vm):
        """Remove a machine for good; another one with another name comes."""
        del self.gateway_by_vm[vm]
        for each in self.side(vm):
            gateway = self.gateway_by_vm[each]
            if not needs_relays(len(gateway.known)):
                gateway.liveness.record_end(vm, self.now)
        new = f"new-{next(self.new_names)}"
        self.dc_by_vm[new] = self.dc_by_vm.pop(vm)
        self.vms = sorted(self.dc_by_vm)
        self.at(self.now + RESTART_SECONDS, self.join, new)

    def join(self, vm):
        self.write(vm)
        self.start(vm)
        self.tell(self.side(vm), "add", vm, *self.record_by_vm[vm])

    def replace_in_turn(self, count, interval):
        """Replace machines one after the other, the oldest first."""
        for number in range(count):
            self.at(self.now + number * interval, self.replace_oldest)

    def replace_oldest(self):
        self.replace(next(iter(self.gateway_by_vm)))
