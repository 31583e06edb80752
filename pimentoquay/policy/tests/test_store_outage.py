"""Outages of the store, as VMs see them that read it in turn."""

import random

import pytest

from pimentoquay.policy.engine_list import RELISTING_GRACE_SECONDS, EngineList
from pimentoquay.policy.store_outage import StoreOutage
from pimentoquay.policy.tests.test_engine_list import entry, listed, update

STALE_AGE = 1.25
LONGEST_AGE = 2.0


def test_an_outage_ends_with_the_first_read_of_any_vm():
    """Guards against an outage that is long over and counts until the next own read."""
    outage = StoreOutage(LONGEST_AGE)
    outage.record_read(0.0)
    outage.record_failure(2.5)
    assert outage.record_read(5.0)
    assert not outage.record_read(60.0)


def test_a_failure_beside_newer_reads_of_peers_is_no_outage():
    """Guards against a VM that the store turns away, and that takes that for an outage."""
    outage = StoreOutage(LONGEST_AGE)
    for step in range(100):
        outage.record_read(step * 0.8)
        outage.record_failure(step * 0.8 + 0.4)
    assert not outage.record_read(80.5)


def test_a_read_before_the_failure_ends_no_outage():
    outage = StoreOutage(LONGEST_AGE)
    outage.record_failure(10.0)
    assert not outage.record_read(9.9)
    assert outage.record_read(14.0)


def test_an_engine_that_has_written_since_the_outage_is_removed_at_once():
    """Guards against a planned removal that is postponed like an entry that lapsed."""
    engines = EngineList()
    for name in ("heard", "silent"):
        engines.apply(update(0, entry(name), name), 0.0)
    engines.start_relisting_grace(10.0, before_position=5)
    engines.apply(update(6, entry("heard", sequence=2), "heard"), 10.5)
    engines.apply(update(7, name="heard", is_removed=True), 11.0)
    engines.apply(update(8, name="silent", is_removed=True), 11.0)
    assert set(listed(engines)) == {"silent"}
    assert engines.expire(10.0 + RELISTING_GRACE_SECONDS)


def test_a_grace_begins_when_the_store_came_back():
    """Guards against a grace from the time at which a VM looks at the list again."""
    engines = EngineList()
    engines.apply(update(0, entry()), 0.0)
    engines.start_relisting_grace(10.0)
    assert engines.apply(update(1, is_removed=True), 10.0 + RELISTING_GRACE_SECONDS)


class Deployment:
    """Seven VMs of which one reads the store, or others as their lists become old."""

    def __init__(self):
        self.outages = [StoreOutage(LONGEST_AGE) for _ in range(7)]
        self.grace_until = [0.0] * 7
        self.newest = 0.0

    def step(self, now, reader, is_away):
        """Let the VMs read that are due; ``is_away`` is whether the store fails for a VM."""
        for vm, outage in enumerate(self.outages):
            if now - self.newest <= (0.75 if vm == reader else STALE_AGE + 0.02 * vm):
                continue
            if is_away(vm):
                outage.record_failure(now)
                continue
            self.newest = now
            self._record(vm, outage.record_read(now))
            for other, told in enumerate(self.outages):
                if other != vm:
                    self._record(other, told.record_read(now))

    def _record(self, vm, has_returned):
        if has_returned:
            self.grace_until[vm] = self.newest + RELISTING_GRACE_SECONDS


@pytest.mark.parametrize("seed", range(6))
def test_removals_long_after_an_outage_are_not_postponed(seed):
    """Guards against graces that follow no outage, or begin long after it.

    Outages of the store, VMs that it turns away, and other readers come at random.
    """
    chance, deployment = random.Random(seed), Deployment()
    away_until, reader, turned_away, turned_until = 0.0, 0, 0, 0.0
    graces = 0
    for step in range(12_000):
        now = step * 0.1
        if now > away_until + 12.0 and chance.random() < 0.01:
            away_until = now + chance.uniform(3.0, 4.5)
        if chance.random() < 0.01:
            reader = chance.randrange(7)
        if now > turned_until and chance.random() < 0.01:
            turned_away, turned_until = chance.choice((reader, chance.randrange(7))), now + 3.0
        is_down, is_turned_away = now < away_until, now < turned_until
        turned = turned_away if is_turned_away else None
        deployment.step(now, reader, lambda vm, down=is_down, one=turned: down or vm == one)
        if now > away_until + RELISTING_GRACE_SECONDS + 2 * STALE_AGE:
            assert max(deployment.grace_until) <= now
        graces += now < min(deployment.grace_until)
    assert graces > 100
