"""Quarantines of prompts under seeded loads of many VMs, in virtual time."""

import os
from dataclasses import dataclass, field

import pytest

from pimentoquay.policy.crash_evidence import CrashReport
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.request_quarantine import RequestQuarantine
from pimentoquay.policy.tests.virtual_vms import GossipingVms

CONTACT_SECONDS = 3.0
"""Time in which all VMs are to learn of something."""

ALLOWED_SENDS = 3
"""Requests with a deadly part that may reach engines later than that after the fifth crash."""


@dataclass
class Load(GossipingVms):
    """Seeded load of many VMs: sound and deadly streams, crashes, and evidence that travels.

    An engine needs some time to begin an answer and breaks all others that wait there if it
    crashes. Broken streams are sent once more. What a VM sends within the contact time after a cut
    or a start is not counted.
    """

    seed: int
    vms: int
    engines: int
    deadly: tuple[str, ...]
    share: float
    per_second: float
    deadly_from: float = 4.0
    seconds: float = 24.0
    delay: float = 0.3
    has_trouble: bool = False
    sent: list[tuple[float, str]] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    refused_sound: list[float] = field(default_factory=list)
    begun_sound: list[float] = field(default_factory=list)

    def __post_init__(self):
        super().__init__(self.seed, self.vms, self.delay, RequestQuarantine)

    def run(self):
        self.up_at = [0.0] * self.engines
        self.start = [0] * self.engines
        self.waiting: list[dict] = [{} for _ in range(self.engines)]
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(self.per_second)
            parts = [f"all-{self.random.randrange(3)}"]
            is_bad = self.random.random() < self.share and now >= self.deadly_from
            bad = self.random.choice(self.deadly) if is_bad else ""
            parts += [bad] if bad else []
            parts += [f"session-{self.random.randrange(40)}"] if self.random.random() < 0.5 else []
            self.at(now, self.arrive, self.random.randrange(self.vms), tuple(parts), bad, 2)
        if self.has_trouble:
            self.trouble(self.seconds)
        self.run_all()
        return self

    def arrive(self, vm, parts, bad, sends):
        quarantine = self.known[vm].quarantine_of(parts)
        if quarantine is not None and not self.known[vm].begin_trial(
            quarantine, parts, vm, self.vms, self.now
        ):
            self.refused_sound += [] if bad else [self.now]
            return
        up = [index for index in range(self.engines) if self.up_at[index] <= self.now]
        if not up:
            return
        engine = self.random.choice(up)
        if bad and self.is_in_touch(vm, CONTACT_SECONDS):
            self.sent.append((self.now, bad))
        key = self.next_number()
        self.waiting[engine][key] = (vm, parts, bad, sends - 1)
        self.at(self.now + self.random.uniform(0.02, 0.4), self.begin, engine, key)

    def begin(self, engine, key):
        if key not in self.waiting[engine]:
            return
        vm, parts, bad, _ = self.waiting[engine][key]
        if bad:
            self.crash(engine, bad)
            return
        del self.waiting[engine][key]
        self.begun_sound.append(self.now)
        self.tell(vm, (), self.known[vm].record_success(parts, self.now))

    def crash(self, engine, bad):
        self.crashes.append((self.now, bad))
        start = EngineStart(f"dec-{engine}", self.start[engine])
        broken, self.waiting[engine] = self.waiting[engine], {}
        self.start[engine] += 1
        self.up_at[engine] = self.now + 3.0
        for vm, parts, was_bad, sends in broken.values():
            self.learn(vm, (CrashReport(start, frozenset(parts)),), ())
            if sends:
                self.at(self.now + 0.005, self.arrive, vm, parts, was_bad, sends)

    def sends_after_bound(self, part):
        """Return the sends with a part later than the contact time after its fifth crash."""
        times = [at for at, bad in self.crashes if bad == part]
        if len(times) < 5:
            return 0
        return sum(at > times[4] + CONTACT_SECONDS for at, bad in self.sent if bad == part)

    def sound_after_bound(self):
        """Return the sound requests that were refused and begun after twice the contact time."""
        times = sorted(at for at, _ in self.crashes)[:5]
        since = times[-1] + 2 * CONTACT_SECONDS
        return tuple(
            sum(at > since for at in each) for each in (self.refused_sound, self.begun_sound)
        )


LOADS = (
    (7, 6, ("bad",), 0.05, 12.0),
    (7, 6, ("bad",), 0.5, 12.0),
    (7, 6, ("bad-1", "bad-2", "bad-3"), 0.3, 12.0),
    (77, 45, ("bad-1", "bad-2"), 0.1, 40.0),
    (195, 20, ("bad",), 0.2, 40.0),
)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("vms", "engines", "deadly", "share", "per_second"), LOADS)
def test_few_requests_with_a_deadly_part_reach_engines_and_sound_ones_are_served(
    seed, vms, engines, deadly, share, per_second
):
    load = Load(seed, vms, engines, deadly, share, per_second).run()
    assert load.crashes
    assert max(load.sends_after_bound(part) for part in deadly) <= ALLOWED_SENDS
    assert load.sound_after_bound()[0] == 0
    assert len(load.refused_sound) <= 0.01 * len(load.begun_sound)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("vms", "engines", "deadly", "share", "per_second"), LOADS)
def test_sound_requests_are_served_soon_though_nothing_was_known_to_be_sound(
    seed, vms, engines, deadly, share, per_second
):
    load = Load(seed, vms, engines, deadly, share, per_second, deadly_from=0.0).run()
    assert max(load.sends_after_bound(part) for part in deadly) <= ALLOWED_SENDS
    refused, begun = load.sound_after_bound()
    assert refused <= 0.01 * begun


SOAK_SEEDS = range(int(os.environ.get("PIMENTOQUAY_SOAK_SEEDS", "3")))
"""Seeds of the soak; a run by hand sets more."""


@pytest.mark.parametrize("seed", SOAK_SEEDS)
@pytest.mark.parametrize(("vms", "engines", "deadly", "share", "per_second"), LOADS)
def test_soak_with_vms_that_start_again_and_are_cut_off(
    seed, vms, engines, deadly, share, per_second
):
    load = Load(100 + seed, vms, engines, deadly, share, per_second, has_trouble=True).run()
    assert max(load.sends_after_bound(part) for part in deadly) <= ALLOWED_SENDS
    refused, begun = load.sound_after_bound()
    assert refused <= 0.01 * begun
