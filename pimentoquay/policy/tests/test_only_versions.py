"""Origins of streams that nobody has told of: units, and seeded loads in virtual time."""

import pytest

from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.only_versions import (
    RETURN_SECONDS,
    SETTLE_SECONDS,
    DueVersion,
    OnlyVersions,
    StoredVersion,
)
from pimentoquay.policy.stored_origins import OriginBatches, RecordedVersions, StoredOrigin
from pimentoquay.policy.tests.virtual_vms import EventQueue
from pimentoquay.policy.version_choice import reached_share

V1, V2 = ("llm", "v1"), ("llm", "v2")
BOTH = {"v1", "v2"}


def started(*stored, era=1, now=0.0):
    """Return what a VM knows that has read the versions from the store."""
    only, recorded = OnlyVersions(), RecordedVersions()
    only.learn(stored, era, now)
    recorded.add([(each.service, each.software) for each in stored])
    return only, recorded


NEVER = float("-inf")


def due(only, recorded, now, share=0.5, lost_peer_at=NEVER):
    return only.due([V1, V2], recorded, lambda service, software: share, lost_peer_at, now)


def test_an_untold_stream_is_of_the_only_version_until_a_second_one_is_recorded():
    only, recorded = started(StoredVersion(*V1, only_in_era=1))
    assert only.possible_origins("llm", BOTH, recorded, {"v1"}) == {"v1"}
    assert only.possible_origins("llm", BOTH, recorded, BOTH) == BOTH, "one has begun there"
    assert only.possible_origins("llm", {"v2"}, recorded, ()) == {"v2"}, "the first is forgotten"
    assert only.possible_origins("other", BOTH, recorded, ()) == BOTH
    recorded.add([V2])
    assert only.possible_origins("llm", BOTH, recorded, ()) == BOTH


@pytest.mark.parametrize(
    "stored",
    [
        StoredVersion(*V1),
        StoredVersion(*V1, only_in_era=1),
    ],
    ids=["written by an older build", "the store was restored since"],
)
def test_a_version_that_is_not_stated_to_be_the_only_one_tells_nothing(stored):
    only, recorded = started(stored, era=2)
    assert only.possible_origins("llm", BOTH, recorded, ()) == BOTH
    assert due(only, recorded, 0.0) == [DueVersion(*V2, is_only=False)]


def test_nothing_is_said_of_the_only_version_while_the_store_may_have_lost_everything():
    only, recorded = started(StoredVersion(*V1, only_in_era=1))
    only.clear()
    recorded.clear()
    assert only.possible_origins("llm", BOTH, recorded, ()) == BOTH
    assert due(only, recorded, 0.0) == [DueVersion(*each, is_only=False) for each in (V1, V2)]


def test_the_only_version_is_written_once():
    only, recorded = started()
    first = DueVersion(*V1, is_only=True)
    assert only.due([V1], recorded, lambda *_: 1.0, NEVER, 0.0) == [first]
    recorded.add([V1])
    only.confirm(first)
    assert only.due([V1], recorded, lambda *_: 1.0, NEVER, 1.0) == []


def test_the_version_that_is_left_is_written_as_the_only_one():
    only, recorded = started(StoredVersion(*V1, only_in_era=1), StoredVersion(*V2))
    assert due(only, recorded, 0.0) == []
    assert only.due([V2], recorded, lambda *_: 1.0, NEVER, 0.0) == [DueVersion(*V2, is_only=True)]


def test_a_second_version_is_recorded_once_the_streams_of_the_first_are_told():
    only, recorded = started()
    recorded.add([V1])
    only.confirm(DueVersion(*V1, is_only=True))
    assert due(only, recorded, 9.0) == []
    assert due(only, recorded, 9.0 + SETTLE_SECONDS) == [DueVersion(*V2, is_only=False)]


def test_a_second_version_is_recorded_once_callers_have_had_time_to_come_back():
    only, recorded = started(StoredVersion(*V1, only_in_era=1), now=3.0)
    assert due(only, recorded, 3.0) == []
    assert due(only, recorded, 2.9 + RETURN_SECONDS) == []
    assert due(only, recorded, 3.0 + RETURN_SECONDS) == [DueVersion(*V2, is_only=False)]


@pytest.mark.parametrize(("lost_peer_at", "recorded_at"), [(8.5, 10.5), (10.0, 11.0), (4.0, 9.2)])
def test_a_second_version_is_recorded_once_callers_of_a_lost_peer_have_come_back(
    lost_peer_at, recorded_at
):
    """Streams of peers that are lost after the version was listed, at 9.0, have been told."""
    only, recorded = started()
    recorded.add([V1])
    only.confirm(DueVersion(*V1, is_only=True))
    assert due(only, recorded, 9.0, lost_peer_at=min(lost_peer_at, 9.0)) == []
    assert due(only, recorded, recorded_at - 0.01, lost_peer_at=lost_peer_at) == []
    assert due(only, recorded, recorded_at + 0.01, lost_peer_at=lost_peer_at) != []


@pytest.mark.parametrize("share", [0.0, 0.2])
def test_a_second_version_is_recorded_at_once_if_few_engines_of_the_first_are_left(share):
    only, recorded = started(StoredVersion(*V1, only_in_era=1))
    assert due(only, recorded, 0.0, share) == [DueVersion(*V2, is_only=False)]


def entries(software, *ids, stage=EngineStage.DECODE):
    return [
        EngineEntry(each, "llm", "127.0.0.1:1", "hall", False, 8, stage, software=software)
        for each in ids
    ]


OLD_IDS = ("e1", "e2", "e3")
LISTED = [*entries("v1", *OLD_IDS), *entries("v2", "e4")]


@pytest.mark.parametrize(
    ("unreachable", "share"),
    [
        ((), 3 / 4),
        (("e1",), 2 / 3),
        (OLD_IDS, 0.0),
        (("e4",), 1.0),
        ((*OLD_IDS, "e4"), 3 / 4),
    ],
    ids=["all reached", "one is not", "none of the first", "none of the second", "none at all"],
)
def test_engines_out_of_reach_take_no_streams_unless_this_vm_reaches_none(unreachable, share):
    """A second version stayed closed while dead engines of the first were listed."""
    prefill = entries("v2", "p1", stage=EngineStage.PREFILL)
    assert reached_share([*LISTED, *prefill], "v1", unreachable) == pytest.approx(share)
    only, recorded = started(StoredVersion(*V1, only_in_era=1))
    found = [] if share else [DueVersion(*V2, is_only=False)]
    assert due(only, recorded, 0.0, reached_share(LISTED, "v1", unreachable)) == found


LIFE_SECONDS, WRITE_SECONDS, LISTED_AT, END = 8.0, 0.15, 20.0, 40.0


class Vm:
    """What one process knows."""

    def __init__(self):
        self.only, self.recorded, self.batches = (
            OnlyVersions(),
            RecordedVersions(),
            OriginBatches(5.0),
        )
        self.own, self.told, self.listed = {}, {}, {"v1"}
        self.is_ready = False

    @property
    def begun(self):
        return {*self.own.values(), *self.told.values()}


class EndOfAll(EventQueue):
    """All VMs end around the time at which a second version is listed, and again while it waits.

    Callers take the streams that ran up within four seconds after the VMs are back, at any of them.
    ``wrong`` counts those that went on at another version, ``refused`` those whose version nobody
    knew.
    """

    def __init__(self, seed, vms, per_second):
        super().__init__(seed)
        self.vms = [Vm() for _ in range(vms)]
        self.versions = {}
        self.origins = {}
        self.streams = {}
        self.went_on = self.wrong = self.refused = self.writes = self.new_at_second = 0
        for each in self.vms:
            self.load(each)
        first = LISTED_AT + self.random.uniform(-2.5, 1.0)
        for when in (first, first + 2.0 + self.random.uniform(0.0, 3.0)):
            self.at(when, self.end_all)
        for number in range(int(END / WRITE_SECONDS)):
            self.at(number * WRITE_SECONDS, self.write)
        now = 0.0
        while (now := now + self.random.expovariate(per_second)) < END:
            self.at(now, self.begin, self.next_number())
        self.at(LISTED_AT, self.list_second)
        self.run_all()

    def live(self):
        return [each for each in self.vms if each.is_ready]

    def load(self, vm):
        """Let a process that has started read the store."""
        stored = [StoredVersion("llm", name, era) for name, era in self.versions.items()]
        vm.only.learn(stored, 1, self.now)
        vm.recorded.add([("llm", name) for name in self.versions])
        vm.told.update(self.origins)
        vm.listed = vm.listed | set(self.versions) | (BOTH if self.now >= LISTED_AT else set())
        vm.is_ready = True

    def later(self, vm, call, *arguments):
        """Make a call after the delay of a message, if the process has not ended by then."""
        delay = self.random.uniform(0.001, 0.1)
        self.at(self.now + delay, lambda: vm in self.vms and call(*arguments))

    def list_second(self):
        for vm in self.vms:
            self.later(vm, self.observe, vm)

    def observe(self, vm):
        if "v2" not in vm.listed:
            vm.listed = BOTH
            self.tell(vm, vm.own)

    def tell(self, vm, origins):
        for number, version in origins.items():
            vm.batches.add(StoredOrigin("llm", version, number.to_bytes(8, "big"), self.now))
        for other in self.vms:
            self.later(other, self.receive, other, dict(origins))

    def receive(self, vm, origins):
        for number, version in origins.items():
            if number not in vm.told and number not in vm.own:
                vm.batches.add(StoredOrigin("llm", version, number.to_bytes(8, "big"), self.now))
        vm.told.update(origins)

    def write(self):
        vm = self.vms[0]
        if not vm.is_ready:
            return
        if (batch := vm.batches.next_batch(200)) is not None:
            vm.batches.confirm(batch)
            self.writes += 1
            self.origins.update({int.from_bytes(o.key, "big"): o.software for o in batch.origins})
        served = [("llm", each) for each in vm.listed]
        for each in vm.only.due(served, vm.recorded, lambda *_: 0.5, NEVER, self.now):
            self.writes += 1
            self.versions[each.software] = int(each.is_only)
            vm.only.confirm(each)
            self.record(vm, each.software)
            for other in self.vms:
                self.later(other, self.record, other, each.software)

    def record(self, vm, software):
        vm.recorded.add([("llm", software)])

    def begin(self, number):
        if not self.live():
            return
        vm = self.random.choice(self.live())
        usable = [each for each in vm.listed if vm.recorded.may_begin("llm", each, vm.listed)]
        software = self.random.choice(sorted(usable))
        self.new_at_second += software == "v2"
        self.streams[number] = software, self.now + LIFE_SECONDS
        self.hold(vm, number, software)

    def hold(self, vm, number, software):
        vm.own[number] = software
        if len(vm.listed) > 1:
            self.at(self.now + 0.02, lambda: vm in self.vms and self.tell(vm, {number: software}))

    def end_all(self):
        self.vms = [Vm() for _ in self.vms]
        for vm in self.vms:
            self.at(self.now + self.random.uniform(1.5, 2.0), self.load_if_current, vm)
        back_at = self.now + 2.0
        for number, (_, until) in self.streams.items():
            if until > self.now:
                self.at(back_at + self.random.uniform(0.0, 4.0), self.take_up, number)

    def load_if_current(self, vm):
        if vm in self.vms:
            self.load(vm)

    def take_up(self, number):
        if not self.live():
            return
        vm = self.random.choice(self.live())
        known = vm.own.get(number) or vm.told.get(number)
        possible = vm.only.possible_origins("llm", vm.listed, vm.recorded, vm.begun)
        if known is None and len(possible) > 1:
            self.refused += 1
            return
        software = known or next(iter(possible))
        self.went_on += 1
        self.wrong += software != self.streams[number][0]
        self.hold(vm, number, software)


SIZES = ((7, 14.0), (77, 60.0))


@pytest.mark.parametrize(("vms", "per_second"), SIZES)
@pytest.mark.parametrize("seed", range(12))
def test_streams_go_on_if_all_vms_end_around_the_listing_of_a_second_version(seed, vms, per_second):
    load = EndOfAll(seed, vms, per_second)
    assert load.wrong == 0
    assert load.went_on >= 0.9 * (load.went_on + load.refused)
    assert load.new_at_second > 0, "the second version is used in the end"
    assert load.writes / (END - LISTED_AT) <= 7.0, "calls a second"
