"""Streams taken up at VMs that may be out of step: units, and seeded releases in virtual time."""

from dataclasses import dataclass, replace

import pytest

from pimentoquay.policy.stream_origins import ServiceVersions, StreamOrigins, stream_key
from pimentoquay.policy.tests.virtual_vms import EventQueue
from pimentoquay.policy.version_doubt import (
    Contact,
    Doubt,
    HeardPeers,
    Standstill,
    Verdict,
    find_doubt,
    judge,
)

INFINITY = float("inf")


IN_STEP = Contact(True, False, (), (), True, 0.3, 1.4)


@pytest.mark.parametrize(
    ("doubt", "changes"),
    [
        (None, {}),
        (None, {"list_age": 100.0}),
        (None, {"missing": ["vm-2"]}),
        (Doubt.NOT_LOADED, {"is_loaded": False}),
        (Doubt.STOOD_STILL, {"has_stood_still": True}),
        (Doubt.PEER_UNHEARD, {"unheard": ["vm-2"]}),
        (Doubt.PEER_UNHEARD, {"missing": ["vm-2"], "list_age": 1.5}),
        (Doubt.LIST_OLD, {"is_full": False, "list_age": 1.5}),
        (Doubt.PEER_UNHEARD, {"is_full": False, "missing": ["vm-2"], "list_age": 1.5}),
    ],
)
def test_a_vm_doubts_what_it_knows_while_it_may_have_missed_something(doubt, changes):
    assert find_doubt(replace(IN_STEP, **changes)) is doubt


@pytest.mark.parametrize("doubt", list(Doubt))
def test_the_store_is_read_before_a_version_is_taken_for_the_only_one(doubt):
    assert judge({"v1"}, doubt, None) is Verdict.READ
    assert judge({"v1"}, doubt, True) is Verdict.ONLY_VERSION
    assert judge({"v1", "v2"}, doubt, True) is Verdict.COME_BACK
    assert judge({"v1", "v2"}, doubt, False) is Verdict.COME_BACK


@pytest.mark.parametrize(
    ("doubt", "verdict"),
    [
        (Doubt.NOT_LOADED, Verdict.COME_BACK),
        (Doubt.STOOD_STILL, Verdict.COME_BACK),
        (Doubt.PEER_UNHEARD, Verdict.COME_BACK),
        # The relays are heard, and none of them can read the list either.
        (Doubt.LIST_OLD, Verdict.ONLY_VERSION),
    ],
)
def test_callers_come_back_if_a_vm_that_is_out_of_step_cannot_read_the_store(doubt, verdict):
    assert judge({"v1"}, doubt, False) is verdict


def test_a_vm_in_step_knows_the_only_version_or_refuses():
    assert judge({"v1"}, None, None) is Verdict.ONLY_VERSION
    assert judge({"v1", "v2"}, None, None) is Verdict.REFUSE


def test_a_peer_is_heard_with_a_heartbeat_after_its_last_channel_was_opened_or_closed():
    peers = HeardPeers(forget_seconds=15.0)
    peers.expect(["a", "b"], 0.0)
    for vm in ("a", "b", "c"):
        peers.record_heartbeat(vm, 1.0)
    assert not peers.unheard(1.5, 0.6)
    peers.record_interruption("a", 1.5)
    assert peers.unheard(1.5, 0.6) == {"a"}
    peers.record_heartbeat("a", 1.7)
    assert peers.unheard(1.7, 0.6) == {"b"}
    assert not peers.unheard(20.0, 0.6), "both are gone"
    assert peers.missing_since(20.0, 0.6) == {"a": 1.7, "b": 1.0}
    peers.expect(["a"], 20.0)
    peers.record_heartbeat("a", 20.0)
    assert not peers.unheard(20.1, 0.6)


def test_a_peer_that_was_never_heard_is_expected_for_a_time():
    peers = HeardPeers(forget_seconds=15.0)
    peers.expect(["a"], 3.0)
    peers.expect(["a"], 10.0)
    assert peers.unheard(17.9, 0.6) == {"a"}
    assert not peers.unheard(18.1, 0.6)


def test_a_process_that_stood_still_is_out_of_step_until_its_messages_are_read():
    standstill = Standstill(0.0)

    def recent_at(*times):
        return [standstill.is_recent(each) for each in times]

    assert not any(recent_at(*(tick * 0.2 for tick in range(11))))
    assert standstill.is_recent(7.0), "before the first tick after it"
    assert all(recent_at(*(7.0 + tick * 0.2 for tick in range(10))))
    assert not any(recent_at(9.1, 9.3))


POLL_SECONDS, RECORD_SECONDS, TELL_SECONDS, STORE_SECONDS = 0.8, 0.15, 0.02, 0.2
LIFE_SECONDS, RETRY_SECONDS, STALE_SECONDS = 16.0, 0.5, 1.4
CONTACT_SECONDS = 3.0
JOIN_AT, LEAVE_AT, END = 6.0, 9.0, 14.0


@dataclass
class Vm:
    """What a VM knows, and until when it is cut off or stands still."""

    name: str

    def __post_init__(self):
        self.origins, self.versions = StreamOrigins(), ServiceVersions()
        self.peers, self.standstill = HeardPeers(15.0), Standstill(0.0)
        self.can_begin = {"v1"}
        self.read_at = 0.0
        self.cut_until = self.frozen_until = -INFINITY
        self.reaches_store = True


@dataclass
class Release(EventQueue):
    """Engines of a second version join, for some seconds only if ``leaves``, amid cuts and freezes.

    A cut takes a VM from all others without closing its channels, half of the time also from the
    store. What was sent to a VM that stands still arrives a little after it has woken. A stream
    that breaks is taken up at any VM. ``is_checked`` is whether VMs doubt what they know.
    """

    seed: int
    vms: int
    per_second: float
    leaves: bool = False
    is_checked: bool = True

    def __post_init__(self):
        super().__init__(self.seed)
        self.all = [Vm(f"vm-{number}") for number in range(self.vms)]
        self.has_relays = self.vms > 16
        self.heartbeat = 0.8 if self.has_relays else 0.4
        self.timeout = 1.5 * self.heartbeat + (0.25 if self.has_relays else 0.0)
        self.stored_at, self.recorded = {}, {"v1"}
        self.begun = self.broken = self.went_on = self.wrong = self.reads = self.reads_in_step = 0

    def run(self):
        for vm in self.all:
            vm.peers.expect([f"peer of {vm.name}"], 0.0)
            self.at(self.random.uniform(0.0, POLL_SECONDS), self.read_if_old, vm)
            self.at(self.random.uniform(0.0, self.heartbeat), self.beat, vm)
            self.at(0.0, self.tick, vm)
        self.at(0.0, self.poll)
        for _ in range(self.vms):
            vm, when = self.random.choice(self.all), self.random.uniform(
                JOIN_AT - 2.0, JOIN_AT + 2.0
            )
            trouble = self.random.choice((self.cut, self.freeze))
            self.at(when, trouble, vm, self.random.uniform(1.0, 5.0))
        now = 1.0
        while now < END:
            now += self.random.expovariate(self.per_second)
            self.at(now, self.begin, self.next_number())
        self.run_all()
        return self

    def listed(self):
        has_second = JOIN_AT <= self.now < (LEAVE_AT if self.leaves else INFINITY)
        return {"v1", "v2"} if has_second else {"v1"}

    def is_frozen(self, vm):
        return vm.frozen_until > self.now

    def is_cut(self, vm):
        return vm.cut_until > self.now

    def cut(self, vm, seconds):
        vm.cut_until = max(vm.cut_until, self.now + seconds)
        vm.reaches_store = self.random.random() < 0.5
        self.at(vm.cut_until, self.heal, vm)

    def heal(self, vm):
        """Let a VM be sent all that is known on a new channel, then a heartbeat."""
        if not self.is_cut(vm):
            vm.reaches_store = True
            vm.peers.record_interruption(f"peer of {vm.name}", self.now)
            self.send(vm, self.receive_all, vm)

    def freeze(self, vm, seconds):
        vm.frozen_until = max(vm.frozen_until, self.now + seconds)

    def send(self, vm, receive, *arguments, delay=0.1):
        """Let a VM receive a message: lost during a cut, late if it stands still."""
        if not self.is_cut(vm):
            self.at(
                self.now + self.random.uniform(0.001, delay), self.deliver, vm, receive, arguments
            )

    def deliver(self, vm, receive, arguments):
        if self.is_frozen(vm):
            late = vm.frozen_until + self.random.uniform(0.0, 0.4)
            self.at(late, self.deliver, vm, receive, arguments)
        elif not self.is_cut(vm):
            receive(*arguments)

    def receive_list(self, vm, listed, read_at):
        if read_at >= vm.read_at:
            vm.read_at = read_at
            vm.versions.observe(listed, self.now)

    def receive_all(self, vm):
        self.receive_list(vm, self.listed(), self.now)
        vm.can_begin |= self.recorded
        for version in self.recorded:
            vm.versions.learn(version, self.now)
        for key, (software, at) in self.stored_at.items():
            if at <= self.now:
                vm.origins.learn("llm", software, [key], self.now)
        vm.peers.record_heartbeat(f"peer of {vm.name}", self.now)

    def beat(self, vm):
        """Let a VM hear its peers, in the order in which they have sent all else."""
        self.send(vm, vm.peers.record_heartbeat, f"peer of {vm.name}", self.now, delay=0.101)
        self.again(self.heartbeat, self.beat, vm)

    def tick(self, vm):
        if not self.is_frozen(vm):
            vm.standstill.tick(self.now)
        self.again(0.2, self.tick, vm)

    def again(self, seconds, call, *arguments):
        if self.now < END + 5.0:
            self.at(self.now + seconds, call, *arguments)

    def poll(self):
        """Let one VM read the list for all others."""
        for vm in self.all:
            self.send(vm, self.receive_list, vm, self.listed(), self.now)
        if self.listed() - self.recorded:
            self.at(self.now + self.random.uniform(0.0, RECORD_SECONDS), self.record)
        self.again(POLL_SECONDS, self.poll)

    def record(self):
        self.recorded.add("v2")
        for vm in self.all:
            self.send(vm, vm.can_begin.add, "v2")
            self.send(vm, vm.versions.learn, "v2", self.now)

    def read_if_old(self, vm):
        """Let a VM that hears nobody read the list, and begin streams at what it finds."""
        is_old = self.now - vm.read_at > STALE_SECONDS
        if is_old and vm.reaches_store and not self.is_frozen(vm):
            self.receive_list(vm, self.listed(), self.now)
            self.recorded |= self.listed()
            vm.can_begin |= self.listed()
        self.again(0.1, self.read_if_old, vm)

    def begin(self, number):
        vm = self.random.choice([each for each in self.all if not self.is_frozen(each)])
        usable = self.listed() & vm.can_begin & vm.versions.served_since(self.now - 2.0)
        software = self.random.choice(sorted(usable or {"v1"}))
        self.begun += 1
        self.at(self.now + self.random.uniform(0.05, 0.5), self.first_event, vm, number, software)

    def first_event(self, vm, number, software):
        key = stream_key(str(number))
        vm.origins.learn("llm", software, [key], self.now)
        if len(vm.versions.served_since(self.now - LIFE_SECONDS)) > 1:
            if vm.reaches_store:
                self.stored_at[key] = software, self.now + TELL_SECONDS + STORE_SECONDS
            if not self.is_cut(vm):
                for other in self.all:
                    self.send(other, other.origins.learn, "llm", software, [key], self.now)
        if self.random.random() < 0.3:
            back_at = self.now + self.random.uniform(0.1, 2.0) + self.random.uniform(0.1, 0.4)
            self.broken += 1
            self.at(back_at, self.take_up, number, software, back_at + 6.0)

    def take_up(self, number, software, ends_at):
        vm = self.random.choice(self.all)
        if self.is_frozen(vm):
            self.at(vm.frozen_until + 0.001, self.handle, vm, number, software, ends_at)
        else:
            self.handle(vm, number, software, ends_at)

    def handle(self, vm, number, software, ends_at):
        if self.is_frozen(vm) or self.now > ends_at:
            return
        key = stream_key(str(number))
        found = vm.origins.software_of("llm", key)
        doubt = self.doubt_of(vm) if self.is_checked else None
        verdict = judge(self.served(vm), doubt, None)
        if found is None and verdict is Verdict.READ:
            has_read = vm.reaches_store
            self.reads += has_read
            trouble_ended_at = max(vm.cut_until, vm.frozen_until)
            self.reads_in_step += self.now - trouble_ended_at > CONTACT_SECONDS
            if has_read:
                self.receive_list(vm, self.listed(), self.now)
                for version in self.recorded:
                    vm.versions.learn(version, self.now)
                stored, at = self.stored_at.get(key, (None, INFINITY))
                found = stored if at <= self.now else None
            verdict = judge(self.served(vm), doubt, has_read)
        if found is None and verdict is Verdict.ONLY_VERSION:
            found = next(iter(self.served(vm)))
        if found is not None:
            self.went_on += found == software and found in self.listed()
            self.wrong += found != software
        elif verdict is Verdict.COME_BACK:
            self.at(self.now + RETRY_SECONDS, self.take_up, number, software, ends_at)

    def served(self, vm):
        return vm.versions.served_since(self.now - LIFE_SECONDS)

    def doubt_of(self, vm):
        return find_doubt(
            Contact(
                True,
                vm.standstill.is_recent(self.now),
                vm.peers.unheard(self.now, self.timeout),
                vm.peers.missing_since(self.now, self.timeout),
                not self.has_relays,
                self.now - vm.read_at,
                STALE_SECONDS,
            )
        )


SIZES = ((7, 30.0), (77, 120.0))


@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("vms", "per_second"), SIZES)
def test_no_stream_changes_its_version_at_a_vm_that_is_out_of_step(vms, per_second, seed, leaves):
    load = Release(seed, vms, per_second, leaves).run()
    assert load.broken > 80 and load.wrong == 0
    if not leaves:
        # Half of the share of new streams, all of which begin here.
        assert load.went_on >= 0.5 * load.broken


@pytest.mark.parametrize(("vms", "per_second"), SIZES)
def test_streams_change_their_version_at_vms_that_do_not_doubt_what_they_know(vms, per_second):
    loads = [Release(seed, vms, per_second, is_checked=False).run() for seed in range(4)]
    assert sum(load.wrong for load in loads) > 2


@pytest.mark.parametrize(("vms", "per_second"), SIZES)
def test_vms_in_touch_read_the_store_for_no_stream_that_is_taken_up(vms, per_second):
    load = Release(0, vms, per_second).run()
    assert load.reads > 0 and load.reads_in_step == 0
