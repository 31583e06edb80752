"""Quarantines of requests that come again, under seeded loads of plain calls, in virtual time."""

import os
from dataclasses import dataclass, field

import pytest

from pimentoquay.policy.crash_evidence import CrashReport, request_feature
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.request_quarantine import RequestQuarantine
from pimentoquay.policy.tests.virtual_vms import GossipingVms

CONTACT_SECONDS = 3.0
"""Time in which all VMs are to learn of something."""

ALLOWED_RETRIES = 3
"""Sends of a deadly request that may reach servers later than that after the third crash."""

MOST_ENDED = 4
"""Servers that one request may crash in the minute of a load, one of them in a trial."""

MAX_ENGINES = 2
"""Servers to which one attempt of a caller may be sent."""


@dataclass
class Call:
    """One attempt of a caller at one VM; ``tried`` are the servers to which it was sent."""

    vm: int
    digest: str
    is_repeatable: bool
    attempts_left: int
    tried: set[str] = field(default_factory=set)
    crashes: int = 0


@dataclass
class Load(GossipingVms):
    """Seeded load of plain calls before a few servers, some of them deadly ones that come again.

    A server breaks all calls that it runs when it crashes, and is back under its id later. A call
    that may be repeated is sent on once, and sent again by its caller at any VM. Servers also crash
    for other reasons, ``random_crashes`` times. A part of the sound calls are alike by nature.
    """

    seed: int
    vms: int
    servers: int
    per_second: float
    deadly: int = 1
    is_deadly_repeatable: bool = True
    random_crashes: int = 0
    waves: int = 0
    seconds: float = 60.0
    delay: float = 0.3
    has_trouble: bool = False
    sends: list[tuple[float, str, bool]] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    refused_sound: list[tuple[float, str]] = field(default_factory=list)
    answered_sound: int = 0

    def __post_init__(self):
        super().__init__(self.seed, self.vms, self.delay, RequestQuarantine)

    def run(self):
        self.entries = [
            EngineEntry(f"desk-{n}", "desk", "", "hall", False, 6) for n in range(self.servers)
        ]
        self.up_at = [0.0] * self.servers
        self.running: list[dict] = [{} for _ in range(self.servers)]
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(self.per_second)
            is_popular = self.random.random() < 0.3
            number = self.random.randrange(20) if is_popular else self.next_number()
            name = f"popular-{number}" if is_popular else f"own-{number}"
            self.at(now, self.arrive_anew, name, is_popular or self.random.random() < 0.3)
        for each in range(self.deadly):
            at = self.random.uniform(1.0, 6.0)
            while at < self.seconds:
                self.at(at, self.arrive_anew, f"deadly-{each}", self.is_deadly_repeatable)
                at += self.random.uniform(1.0, 7.0)
        for _ in range(self.random_crashes):
            when = self.random.uniform(1.0, self.seconds)
            self.at(when, self.crash, self.random.randrange(self.servers), "")
        for _ in range(self.waves):
            when = self.random.uniform(1.0, self.seconds)
            for server in range(self.servers):
                self.at(when + self.random.uniform(0.0, 0.5), self.crash, server, "")
        if self.has_trouble:
            self.trouble(self.seconds)
        self.run_all()
        return self

    def arrive_anew(self, digest, is_repeatable, attempts=2):
        vm = self.random.randrange(self.vms)
        self.dispatch(Call(vm, digest, is_repeatable, attempts - 1))

    def dispatch(self, call):
        known, features = self.known[call.vm], (request_feature(call.digest),)
        quarantine = known.quarantine_of(features)
        if quarantine is not None:
            if not known.begin_trial(quarantine, features, call.vm, self.vms, self.now):
                if not call.digest.startswith("deadly"):
                    self.refused_sound.append((self.now, call.digest))
                return
            self.tell_others(call.vm, self.receive_trial, quarantine.request)
        self.send(call)

    def send(self, call):
        up = [
            each for each, up_at in zip(self.entries, self.up_at, strict=True) if up_at <= self.now
        ]
        left = [each for each in up if each.id not in call.tried]
        if not left:
            return
        server = min(left, key=lambda each: len(self.running[self.entries.index(each)]))
        index = self.entries.index(server)
        call.tried.add(server.id)
        key = self.next_number()
        self.running[index][key] = call
        if call.digest.startswith("deadly"):
            is_in_touch = self.is_in_touch(call.vm, CONTACT_SECONDS)
            self.sends.append((self.now, call.digest, is_in_touch))
            self.at(self.now + self.random.uniform(0.01, 0.1), self.crash_under, index, key)
        else:
            self.at(self.now + self.random.expovariate(1 / 0.02), self.answer, index, key)

    def answer(self, index, key):
        call = self.running[index].pop(key, None)
        if call is not None:
            self.answered_sound += 1
            known = self.known[call.vm]
            cleared = known.record_success((request_feature(call.digest),), self.now)
            self.tell(call.vm, (), cleared)

    def crash_under(self, index, key):
        if key in self.running[index]:
            self.crash(index, self.running[index][key].digest)

    def crash(self, index, digest):
        if self.up_at[index] > self.now:
            return
        self.crashes.append((self.now, digest))
        broken, self.running[index] = self.running[index], {}
        self.up_at[index] = self.now + 3.5
        listed = EngineStart(self.entries[index].id, 1)
        for call in broken.values():
            known = self.known[call.vm]
            start = known.start_of_crash(listed, self.now)
            self.learn(call.vm, (CrashReport(start, frozenset((request_feature(call.digest),))),))
            call.crashes += 1
            self.at(self.now + 0.003, self.send_again, call)

    def send_again(self, call):
        if not call.is_repeatable:
            return
        is_refused = self.known[call.vm].quarantine_of((request_feature(call.digest),))
        if len(call.tried) < MAX_ENGINES and not is_refused:
            self.send(call)
        elif call.attempts_left:
            pause = self.random.uniform(0.01, 0.1)
            self.at(self.now + pause, self.arrive_anew, call.digest, True, call.attempts_left)

    def receive_trial(self, vm, request):
        self.known[vm].record_trial(request, self.now)

    def crashes_under(self, digest):
        return [at for at, each in self.crashes if each == digest]

    def retries_after_bound(self, digest):
        """Return the sends later than the contact time after the third crash under a request."""
        times = self.crashes_under(digest)
        if len(times) < 3:
            return 0
        bound = times[2] + CONTACT_SECONDS
        return sum(
            at > bound and is_in_touch for at, each, is_in_touch in self.sends if each == digest
        )


LOADS = ((7, 3, 35.0), (7, 3, 150.0), (77, 12, 60.0), (195, 30, 80.0))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_repeatable", [True, False])
@pytest.mark.parametrize("deadly", [1, 3])
@pytest.mark.parametrize(("vms", "servers", "per_second"), LOADS)
def test_a_request_that_crashes_servers_is_not_sent_much_more(
    seed, is_repeatable, deadly, vms, servers, per_second
):
    load = Load(seed, vms, servers, per_second, deadly, is_repeatable).run()
    for digest in (f"deadly-{each}" for each in range(deadly)):
        assert load.crashes_under(digest)
        assert load.retries_after_bound(digest) <= ALLOWED_RETRIES
        assert len(load.crashes_under(digest)) <= MOST_ENDED
    assert len(load.refused_sound) <= 0.001 * load.answered_sound


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("random_crashes", "waves"), [(12, 0), (0, 4), (60, 0)])
@pytest.mark.parametrize(("vms", "servers", "per_second"), LOADS)
def test_sound_requests_are_served_though_servers_crash_for_other_reasons(
    seed, random_crashes, waves, vms, servers, per_second
):
    load = Load(seed, vms, servers, per_second, 0, random_crashes=random_crashes, waves=waves).run()
    assert load.crashes
    assert len(load.refused_sound) <= 0.001 * load.answered_sound


SOAK_SEEDS = range(int(os.environ.get("PIMENTOQUAY_SOAK_SEEDS", "3")))
"""Seeds of the soak; a run by hand sets more."""


@pytest.mark.parametrize("seed", SOAK_SEEDS)
@pytest.mark.parametrize(("vms", "servers", "per_second"), LOADS)
def test_soak_with_vms_that_start_again_and_servers_that_crash_for_other_reasons(
    seed, vms, servers, per_second
):
    load = Load(100 + seed, vms, servers, per_second, 2, random_crashes=6, has_trouble=True).run()
    for digest in ("deadly-0", "deadly-1"):
        assert load.retries_after_bound(digest) <= ALLOWED_RETRIES
    assert len(load.refused_sound) <= 0.002 * load.answered_sound
