"""Streams that begin at engines which are back under their ids before their entries are read."""

import random

import pytest

from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.fleet import EngineEntry, start_of_version, unstated_version
from pimentoquay.policy.unlisted_starts import MAX_STARTS, UnlistedStarts


def entry(start, software="v1"):
    return EngineEntry(
        start.id, "llm", "", "", False, 1, incarnation=start.incarnation, software=software
    )


class Play:
    """Engines that start again at any version, and VMs that read their entries late."""

    def __init__(self, seed, engines=12, vms=5):
        self.random = random.Random(seed)
        self.starts = [EngineStart(f"dec {number}", 1) for number in range(engines)]
        self.version_by_start = {start: "v1" for start in self.starts}
        self.listed_by_vm = [{each.id: each for each in self.starts} for _ in range(vms)]
        self.known_by_vm = [UnlistedStarts() for _ in range(vms)]
        self.streams = []
        self.resumed = self.waited = 0

    def restart(self):
        number = self.random.randrange(len(self.starts))
        old = self.starts[number]
        start = self.starts[number] = EngineStart(old.id, old.incarnation + 1)
        self.version_by_start[start] = self.random.choice(("v1", "v2", "v3"))

    def read(self, vm):
        """Let a VM read the entry of an engine as it is now."""
        start = self.random.choice(self.starts)
        self.listed_by_vm[vm][start.id] = start
        self.observe(vm)

    def observe(self, vm):
        listed = self.listed_by_vm[vm].values()
        self.known_by_vm[vm].observe([entry(e, self.version_by_start[e]) for e in listed])

    def begin(self, vm, now):
        """Begin a stream by a VM, and tell all."""
        start = self.random.choice(self.starts)
        is_listed = self.listed_by_vm[vm][start.id] == start
        software = self.version_by_start[start] if is_listed else unstated_version(start)
        for other, known in enumerate(self.known_by_vm):
            if known.learn(software, now):
                self.observe(other)
        self.streams.append((software, start))

    def resume(self, vm):
        """Check where a VM lets a stream go on."""
        software, start = self.random.choice(self.streams)
        known = self.known_by_vm[vm]
        version = known.version_of(software)
        if version in ("v1", "v2", "v3"):
            assert version == self.version_by_start[start]
            self.resumed += 1
        elif known.is_awaited(software):
            assert self.listed_by_vm[vm][start.id].incarnation < start.incarnation
            self.waited += 1
        else:
            assert self.listed_by_vm[vm][start.id].incarnation > start.incarnation


@pytest.mark.parametrize("seed", range(20))
def test_no_stream_goes_on_at_another_version_than_that_of_its_start(seed):
    play = Play(seed)
    for now in range(2_000):
        vm = play.random.randrange(len(play.known_by_vm))
        if play.random.random() < 0.05:
            play.restart()
        play.begin(vm, float(now))
        play.read(vm)
        play.resume(play.random.randrange(len(play.known_by_vm)))
    assert play.resumed > 1_000 and play.waited


def test_starts_whose_entry_never_comes_are_forgotten():
    known = UnlistedStarts()
    for number in range(MAX_STARTS + 10):
        known.learn(unstated_version(EngineStart(f"dec-{number}", 2)), now=float(number))
    assert len(known) == MAX_STARTS
    known.expire(before=100.0)
    assert len(known) == MAX_STARTS - 90
    known.expire(before=1e9)
    assert not known.is_awaited(unstated_version(EngineStart("dec-200", 2))) and not len(known)


def test_the_versions_of_many_starts_are_bounded():
    known = UnlistedStarts()
    for number in range(MAX_STARTS + 10):
        start = EngineStart(f"dec-{number}", 2)
        known.learn(unstated_version(start), now=0.0)
        known.observe([entry(start)])
    assert known.version_of(unstated_version(EngineStart("dec-0", 2))).startswith("unknown")
    assert known.version_of(unstated_version(EngineStart("dec-100", 2))) == "v1"


OTHER_VERSIONS = [
    "",
    "v1",
    "unknown: ",
    "unknown: dec-1",
    "unknown:  2",
    "unknown: dec-1 ²",
    "unknown: dec-1 " + "9" * 10_000,
    "x 2",
]


@pytest.mark.parametrize("software", OTHER_VERSIONS)
def test_other_versions_name_no_start(software):
    assert start_of_version(software) is None
    known = UnlistedStarts()
    assert not known.learn(software, now=0.0) and not known.is_awaited(software)


def test_a_name_holds_the_id_and_the_incarnation():
    start = EngineStart("dec 1 of 2", 1764840000000)
    assert start_of_version(unstated_version(start)) == start
