"""Engines that leave while the VM that reads the store starts again."""

import random

import pytest

from pimentoquay.policy.engine_list import (
    RELISTING_GRACE_SECONDS,
    EngineList,
    EngineUpdate,
)
from pimentoquay.policy.listed_keys import ListedKeys
from pimentoquay.policy.store_position import position_of
from pimentoquay.policy.tests.test_engine_list import entry, listed


def from_peer(name, position):
    return (EngineUpdate(name, position, entry(name), is_from_peer=True),)


def complete(engines, position, *names, now=0.0):
    """Apply a complete list of engines."""
    engines.apply((EngineUpdate(each, 1, entry(each)) for each in names), now)
    engines.remove_unlisted(names, position, now)


def test_a_peers_record_of_an_engine_that_a_complete_list_lacks_is_not_applied():
    """Guards against engines that have left and are taken over from a peer's copy."""
    engines = EngineList()
    complete(engines, 10, "dec-2")
    assert not engines.apply(from_peer("dec-1", 9), 0.0)
    assert engines.removal_since("dec-1", 9, 0.0) == 9
    assert set(listed(engines)) == {"dec-2"}


def test_a_peers_record_after_the_complete_list_is_applied():
    engines = EngineList()
    complete(engines, 10, "dec-2")
    assert engines.apply(from_peer("dec-1", 10), 0.0)
    assert engines.removal_since("dec-1", 10, 0.0) is None


def test_an_engine_whose_newest_record_is_unreadable_is_not_missing():
    """Guards against another writer's record that takes an engine from all VMs."""
    engines = EngineList()
    engines.apply((EngineUpdate("dec-1", 8, None),), 0.0)
    engines.remove_unlisted(["dec-1"], 10, 0.0)
    assert engines.apply(from_peer("dec-1", 7), 0.0)
    assert engines.removal_since("dec-1", 7, 0.0) is None


def test_a_peers_record_in_the_grace_after_an_outage_is_applied_until_its_end():
    """Guards against sound engines that are dropped while they are listed again."""
    engines = EngineList()
    engines.start_relisting_grace(0.0)
    complete(engines, 10, "dec-2")
    assert engines.apply(from_peer("dec-1", 9), 0.5)
    assert engines.removal_since("dec-1", 9, 0.5) is None
    assert not engines.expire(RELISTING_GRACE_SECONDS - 0.1)
    assert engines.expire(RELISTING_GRACE_SECONDS)
    assert engines.removal_since("dec-1", 9, RELISTING_GRACE_SECONDS) == 9


def test_a_peers_record_of_an_earlier_era_is_applied_for_a_while():
    """Guards against an engine that a restored store has lost, and that nobody removes."""
    engines = EngineList()
    complete(engines, position_of(2, 10), "dec-2")
    assert engines.apply(from_peer("dec-1", 900), 5.0)
    assert not engines.expire(5.0 + RELISTING_GRACE_SECONDS - 0.1)
    assert engines.expire(5.0 + RELISTING_GRACE_SECONDS)
    assert set(listed(engines)) == {"dec-2"}


def test_a_removal_is_known_after_the_engine_is_forgotten():
    """Guards against the copy of a VM that stood still for longer than engines are remembered."""
    engines = EngineList()
    engines.apply((EngineUpdate("dec-1", 3, entry("dec-1")),), 0.0)
    engines.apply((EngineUpdate("dec-1", 7, None, is_removed=True),), 0.0)
    engines.expire(100.0)
    assert not engines.apply(from_peer("dec-1", 5), 100.0)
    assert engines.removal_since("dec-1", 5, 100.0) == 7


def test_a_removal_does_not_outlast_a_new_record_of_its_engine():
    keys = ListedKeys()
    keys.record("dec-1", 7, is_removed=True)
    assert keys.is_removed_since("dec-1", 6)
    keys.record("dec-1", 9, is_removed=False)
    keys.record("dec-1", 8, is_removed=True)
    assert not keys.is_removed_since("dec-1", 6)


class Deployment:
    """VMs of which one reads a store; the others get its changes while they are connected.

    A VM that starts sends its list to all and gets theirs, with answers to what is out of date.
    """

    def __init__(self, count):
        self.store = {}
        self.position = 1
        self.lists = [EngineList() for _ in range(count)]
        self.next_positions = [0] * count
        self.log = []

    def write(self, name, is_removed=False):
        self.store.pop(name, None)
        if not is_removed:
            self.store[name] = self.position
        item = None if is_removed else entry(name, sequence=self.position)
        self.log.append(EngineUpdate(name, self.position, item, is_removed))
        self.position += 1

    def read(self, vm, now):
        engines, since = self.lists[vm], self.next_positions[vm]
        if since == 0:
            updates = [each for each in self.log if self.store.get(each.id) == each.position]
            engines.apply(updates, now)
            engines.remove_unlisted(list(self.store), self.position, now)
        else:
            updates = [each for each in self.log if each.position >= since]
            engines.apply(updates, now)
            engines.keys.read_on(self.position)
        self.next_positions[vm] = self.position
        for other in range(len(self.lists)):
            if other != vm:
                self.send(updates, other, now)

    def send(self, updates, target, now):
        """Send records; return the removals that the target answers with."""
        engines = self.lists[target]
        updates = [
            EngineUpdate(each.id, each.position, each.entry, each.is_removed, is_from_peer=True)
            for each in updates
        ]
        engines.apply(updates, now)
        found = ((each.id, engines.removal_since(each.id, each.position, now)) for each in updates)
        return [EngineUpdate(name, at, None, True) for name, at in found if at is not None]

    def copy_of(self, vm):
        known = self.lists[vm]._known_by_id.values()
        return [
            EngineUpdate(each.entry.id, each.position, each.entry)
            for each in known
            if each.removed_at is None
        ]

    def restart(self, vm, now):
        self.lists[vm], self.next_positions[vm] = EngineList(), 0
        self.read(vm, now)
        for other in range(len(self.lists)):
            if other != vm:
                answer = self.send(self.copy_of(other), vm, now)
                self.send(answer, other, now)
                self.send(self.send(self.copy_of(vm), other, now), vm, now)


@pytest.mark.parametrize("seed", range(8))
def test_no_engine_that_has_left_stays_listed_while_readers_start_again(seed):
    """Guards against removals that fall between the reads of two readers."""
    chance = random.Random(seed)
    deployment = Deployment(5)
    names = [f"dec-{number}" for number in range(12)]
    for name in names:
        deployment.write(name)
    for vm in range(5):
        deployment.restart(vm, 0.0)
    for step in range(300):
        now, name = 100.0 + step, chance.choice(names)
        deployment.write(name, is_removed=chance.random() < 0.4 and name in deployment.store)
        if chance.random() < 0.3:
            deployment.restart(chance.randrange(2), now)
        if chance.random() < 0.3:
            deployment.read(0, now)
    # As the reader that has started last goes on behind what it has read itself.
    deployment.restart(0, 500.0)
    for engines in deployment.lists:
        assert set(listed(engines)) == set(deployment.store)
