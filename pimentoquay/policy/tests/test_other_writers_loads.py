"""Replayed load: engines write heartbeats while others write entries under the engines' ids."""

import random
from dataclasses import replace

import pytest

from pimentoquay.policy.engine_list import CONTESTED_SECONDS, EngineList, EngineUpdate
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.heartbeat_runs import MAX_RUNS
from pimentoquay.policy.store_position import position_of

BEAT_SECONDS = 1.2
SERVICES = ("desk", "llm")
HOUR_MS = 3_600_000


class Engine:
    """An engine that writes heartbeats; some of them do not reach the store."""

    def __init__(self, name, born):
        address = f"10.0.0.1:{born % 60_000 + 1}"
        self.entry = EngineEntry(name, "desk", address, "hall", False, 6, incarnation=born)

    def beat(self):
        self.entry = replace(self.entry, sequence=self.entry.sequence + 1)
        return self.entry

    def restart(self, born):
        self.entry = Engine(self.entry.id, born).entry


class Play:
    """Engines, other writers, and a VM that reads all records in their order."""

    def __init__(self, seed, engines=6):
        self.random = random.Random(seed)
        self.now, self.era, self.offset = 0.0, 1, 0
        self.list = EngineList(SERVICES)
        self.engines = [Engine(f"e-{n}", 1000 + n) for n in range(engines)]
        self.own_beats = dict.fromkeys((each.entry.id for each in self.engines), 9)
        self.written: dict[str, list[EngineEntry]] = {each.entry.id: [] for each in self.engines}

    def listed(self, name):
        return next((each for each in self.list.engines() if each.id == name), None)

    def put(self, name, entry, **more):
        self.offset += 1
        position = position_of(self.era, self.offset)
        changed = self.list.apply((EngineUpdate(name, position, entry, **more),), self.now)
        self.list.expire(self.now, read_at=self.now)
        return changed

    def beat(self, engine):
        """Write a heartbeat, and check that the engine is listed with it after two in a row."""
        name = engine.entry.id
        entry = engine.beat()
        if self.random.random() < 0.05:
            entry = engine.beat()
        self.put(name, entry)
        self.written[name].append(entry)
        self.own_beats[name] += 1
        if self.own_beats[name] >= 2:
            assert self.listed(name) == entry

    def write_unusable(self, engine):
        """Write an entry that names no engine to use, which changes nothing."""
        name, entry = engine.entry.id, engine.entry
        born = entry.incarnation + self.random.randrange(2 * HOUR_MS)
        before = self.list.engines()
        unnamed = replace(entry, service="kitchen", incarnation=born, address="10.9.9.9:9")
        future = replace(entry, incarnation=born + HOUR_MS, address="10.9.9.9:9")
        choice = self.random.randrange(3)
        update = ((None, False), (unnamed, False), (future, True))[choice]
        changed = self.put(name, update[0], starts_later=update[1])
        if self.own_beats[name] >= 2:
            assert not changed and self.list.engines() == before

    def write_usable(self, engine):
        """Write an entry in the form of the engine's, or remove its entry."""
        entry, choose = engine.entry, self.random.choice
        other = replace(
            entry,
            service=choose(SERVICES),
            address=choose((entry.address, "10.9.9.9:9")),
            is_draining=choose((False, True)),
            incarnation=entry.incarnation + choose((-500, 0, 0, 1, HOUR_MS)),
            sequence=max(0, entry.sequence + choose((-3, 0, 1, 2, 3, 4, 5, 9, 10**6, 2**62))),
        )
        if replace(other, sequence=entry.sequence) == entry:
            other = replace(other, is_draining=True)
        is_removed = self.random.random() < 0.3
        self.put(entry.id, None if is_removed else other, is_removed=is_removed)
        self.own_beats[entry.id] = 0

    def write_again(self, engine):
        """Write a heartbeat of the engine for the second time, late."""
        if self.written[engine.entry.id]:
            last = self.written[engine.entry.id][-6:]
            name, before = engine.entry.id, self.list.engines()
            changed = self.put(name, self.random.choice(last))
            if self.own_beats[name] >= 2:
                assert not changed and self.list.engines() == before

    def restart(self, engine):
        name = engine.entry.id
        is_known = self.own_beats[name] >= 2
        engine.restart(engine.entry.incarnation + self.random.randrange(1, HOUR_MS))
        self.written[name].clear()
        self.put(name, engine.beat())
        if is_known:
            assert self.listed(name) == engine.entry
        else:
            self.own_beats[name] = 1

    def restore(self):
        """Bring the store back from a copy some seconds old, whose records are read again."""
        self.era += 1
        for engine in self.engines:
            if self.written[engine.entry.id]:
                self.put(engine.entry.id, self.random.choice(self.written[engine.entry.id][-4:]))


@pytest.mark.parametrize("seed", range(20))
def test_engines_are_listed_after_two_heartbeats_whatever_others_wrote(seed):
    play = Play(seed)
    for engine in play.engines:
        play.beat(engine)
    for _ in range(200):
        play.now += BEAT_SECONDS
        for engine in play.engines:
            for write, share in (
                (play.write_unusable, 0.3),
                (play.write_usable, 0.2),
                (play.write_again, 0.3),
            ):
                if play.random.random() < share:
                    write(engine)
            if play.random.random() < 0.02:
                play.restart(engine)
            else:
                play.beat(engine)
        if play.random.random() < 0.02:
            play.restore()


def put_all(engines, entries, services=SERVICES):
    """Apply entries in the order of the store; return the entry that is listed then."""
    for position, entry in enumerate(entries):
        engines.apply((EngineUpdate("e", position, entry),), 0.0)
    return next(iter(engines.engines()), None)


def beats(born, *numbers, **more):
    engine = Engine("e", 1000)
    return [replace(engine.entry, incarnation=born, sequence=each, **more) for each in numbers]


def test_an_entry_with_a_service_that_is_not_named_does_not_displace_an_engine():
    """All later heartbeats of the engine were passed over, and it was not used again."""
    (own, own_next), (other,) = beats(1000, 7, 8), beats(2000, 1, service="kitchen")
    assert put_all(EngineList(SERVICES), [own, other]) == own
    assert put_all(EngineList(SERVICES), [own, other, own_next]) == own_next


def test_an_entry_that_was_read_first_and_names_no_service_gives_way_at_once():
    (own,), (other,) = beats(1000, 8), beats(2000, 1, service="kitchen")
    assert put_all(EngineList(SERVICES), [other, own]) == own


@pytest.mark.parametrize("numbers", [(1, 2, 3, 4), (10**6, 10**6 + 1, 10**6 + 2, 10**6 + 3)])
@pytest.mark.parametrize("born", [2000, HOUR_MS])
def test_an_engine_is_listed_after_two_heartbeats_though_another_writer_goes_on(born, numbers):
    own, others = beats(1000, 5, 6, 7, 8), beats(born, *numbers, address="10.9.9.9:9")
    engines = EngineList(SERVICES)
    entries = [each for pair in zip(own, others, strict=True) for each in pair]
    assert put_all(engines, entries[:5]) == own[2]


def test_many_starts_that_others_name_do_not_make_an_engine_unknown():
    engines, own = EngineList(SERVICES), beats(1000, 5, 6, 7, 8)
    many = [beats(2000 + each, 1)[0] for each in range(4 * MAX_RUNS)]
    entries = [*own[:2], *many[:20], own[2], *many[20:], own[3]]
    assert put_all(engines, entries) == own[3]


def test_an_engine_whose_clock_went_back_is_listed_with_its_second_heartbeat():
    before, after = beats(2000, 50, 51), beats(1000, 1, 2)
    assert put_all(EngineList(SERVICES), [*before, after[0]]) == before[1]
    assert put_all(EngineList(SERVICES), [*before, *after]) == after[1]


@pytest.mark.parametrize("late", [(3, 4), (7, 7), (8, 9)])
def test_late_heartbeats_do_not_undo_that_an_engine_drains(late):
    ready = beats(1000, *range(1, 8))
    draining = beats(1000, 11, 12, is_draining=True)
    copies = beats(1000, *late)
    entries = [*ready, draining[0], copies[0], draining[1], copies[1]]
    assert put_all(EngineList(SERVICES), entries) == draining[1]


def test_late_heartbeats_of_an_earlier_start_give_way_to_the_engine_that_goes_on():
    entries = [*beats(1000, 5, 6), *beats(2000, 1), *beats(1000, 7, 8), *beats(2000, 2)]
    assert put_all(EngineList(SERVICES), entries) == entries[-1]


def test_an_engine_of_a_service_that_is_configured_later_is_listed():
    engines = EngineList(("llm",))
    (entry,) = beats(1000, 1)
    assert put_all(engines, [entry]) == entry
    engines.update_services(SERVICES, 0.0)
    assert put_all(engines, [entry, *beats(2000, 1, service="kitchen")]) == entry


def test_an_engine_that_starts_again_for_a_service_that_is_not_configured_yet_is_taken_later():
    engines, now = EngineList(("desk",)), 0.0
    engines.apply((EngineUpdate("e", 0, beats(1000, 1)[0]),), now)
    moved = beats(2000, *range(1, 9), service="llm")
    for position, entry in enumerate(moved[:5], 1):
        now += BEAT_SECONDS
        engines.apply((EngineUpdate("e", position, entry),), now)
        engines.expire(now, read_at=now)
        assert bool(engines.engines()) is (now < CONTESTED_SECONDS + BEAT_SECONDS)
    engines.update_services(SERVICES, now)
    engines.apply((EngineUpdate("e", 9, moved[5]),), now)
    assert engines.engines() == (moved[5],)


def test_an_entry_whose_service_is_configured_later_is_taken_then_unless_the_engine_went_on():
    """A VM that gets changes only from another one does not get the next heartbeat."""
    (own, own_next), (moved,) = beats(1000, 1, 2), beats(2000, 1, service="llm")
    for entries, found in (([own, moved], moved), ([own, moved, own_next], own_next)):
        engines = EngineList(("desk",))
        put_all(engines, entries)
        engines.update_services(SERVICES, 0.0)
        assert engines.engines() == (found,)


def test_a_start_in_the_future_is_taken_with_its_second_heartbeat_unless_the_engine_goes_on():
    """The clock of this VM may be behind, and the engine may be the only one that writes."""
    first, second = beats(HOUR_MS, 1, 2)
    own = beats(1000, 5, 6)
    for before, between, after in (((), (), second), (own[:1], own[1:], own[1])):
        engines = EngineList(SERVICES)
        put_all(engines, before)
        records = (first, *between, second)
        for position, entry in enumerate(records, 10):
            is_late = entry.incarnation == HOUR_MS
            engines.apply((EngineUpdate("e", position, entry, starts_later=is_late),), 0.0)
            if entry is first:
                assert engines.engines() == tuple(before)
        assert engines.engines() == (after,)
