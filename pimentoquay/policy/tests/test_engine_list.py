from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.policy.engine_list import (
    CONTESTED_SECONDS,
    RELISTING_GRACE_SECONDS,
    REMOVED_RETENTION_SECONDS,
    EngineList,
    EngineUpdate,
)
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.store_position import FIRST_ERA, position_of


def entry(name="e", sequence=1, incarnation=1, is_draining=False):
    return EngineEntry(
        name,
        "desk",
        "10.0.0.1:1",
        "hall",
        is_draining,
        6,
        incarnation=incarnation,
        sequence=sequence,
    )


def listed(engines):
    return {each.id: each for each in engines.engines()}


def update(position, item=None, name="e", is_removed=False):
    return (EngineUpdate(name, position, item, is_removed),)


def test_an_older_heartbeat_does_not_undo_draining():
    engines = EngineList()
    engines.apply(update(0, entry(sequence=1)), 0.0)
    engines.apply(update(1, entry(sequence=3, is_draining=True)), 0.0)
    assert not engines.apply(update(2, entry(sequence=2)), 0.0)
    assert listed(engines)["e"].is_draining


def test_a_record_that_was_read_before_changes_nothing():
    engines = EngineList()
    engines.apply(update(5, entry(sequence=9)), 0.0)
    engines.apply(update(6, is_removed=True), 0.0)
    assert not engines.apply(update(5, entry(sequence=9)), 0.0)
    assert listed(engines) == {}


def test_restart_under_the_same_id_replaces_the_entry():
    engines = EngineList()
    engines.apply(update(0, entry(sequence=100)), 0.0)
    assert engines.apply(update(1, entry(sequence=0, incarnation=2)), 0.0)
    assert not engines.apply(update(2, entry(sequence=101)), 0.0)
    assert listed(engines)["e"].incarnation == 2


def test_an_unreadable_record_displaces_nothing_and_a_silent_engine_is_removed_after_it():
    engines = EngineList()
    engines.apply(update(0, entry(sequence=1)), 0.0)
    assert not engines.apply(update(1), 10.0)
    assert not engines.expire(
        10.0 + CONTESTED_SECONDS - 0.1, read_at=10.0 + CONTESTED_SECONDS - 0.1
    )
    assert "e" in listed(engines)
    assert engines.expire(10.0 + CONTESTED_SECONDS, read_at=10.0 + CONTESTED_SECONDS)
    assert listed(engines) == {}
    assert engines.apply(update(2, entry(sequence=2)), 15.0)
    assert "e" in listed(engines)


def test_a_heartbeat_after_an_unreadable_record_shows_that_the_engine_is_there():
    engines = EngineList()
    engines.apply(update(0, entry(sequence=1)), 0.0)
    engines.apply(update(1), 10.0)
    engines.apply(update(2, entry(sequence=2)), 11.0)
    assert not engines.expire(100.0, read_at=100.0)
    assert "e" in listed(engines)


def test_an_engine_with_an_unreadable_record_is_kept_while_the_store_is_away():
    engines = EngineList()
    engines.apply(update(0, entry(sequence=1)), 0.0)
    engines.apply(update(1), 10.0)
    assert not engines.expire(60.0, read_at=11.0)
    engines.start_relisting_grace(60.0)
    assert not engines.expire(60.0, read_at=60.0)
    assert engines.expire(62.0, read_at=60.0 + RELISTING_GRACE_SECONDS)


def test_an_unreadable_record_does_not_hide_an_earlier_one_that_a_peer_has():
    engines = EngineList()
    engines.apply(update(9), 0.0)
    assert engines.apply(update(8, entry(sequence=1)), 0.0)
    assert "e" in listed(engines)


def test_entries_that_expired_during_an_outage_are_removed_after_a_grace_period():
    engines = EngineList()
    for name in ("alive", "dead"):
        engines.apply(update(0, entry(name), name), 0.0)
    engines.start_relisting_grace(10.0)
    for position, name in ((1, "alive"), (2, "dead")):
        engines.apply(update(position, name=name, is_removed=True), 10.0)
    assert set(listed(engines)) == {"alive", "dead"}
    engines.apply(update(3, entry("alive", sequence=2), "alive"), 11.0)
    assert not engines.expire(10.0 + RELISTING_GRACE_SECONDS - 0.1)
    assert engines.expire(10.0 + RELISTING_GRACE_SECONDS)
    assert set(listed(engines)) == {"alive"}


def test_complete_list_removes_missing_engines_but_no_newer_ones():
    engines = EngineList()
    engines.apply(update(3, entry("old"), "old"), 0.0)
    engines.apply(update(9, entry("new"), "new"), 0.0)
    assert engines.remove_unlisted([], before_position=5, now=0.0)
    assert set(listed(engines)) == {"new"}


def test_removed_engines_are_forgotten_after_the_retention_time():
    engines = EngineList()
    engines.apply(update(0, entry()), 0.0)
    engines.apply(update(1, is_removed=True), 0.0)
    engines.expire(REMOVED_RETENTION_SECONDS + 1)
    assert engines._known_by_id == {}


RECORDS = st.tuples(
    st.integers(FIRST_ERA, FIRST_ERA + 2), st.integers(0, 5), st.integers(0, 3), st.booleans()
)


@given(st.lists(RECORDS, max_size=20), RECORDS)
def test_a_known_record_changes_nothing_whatever_it_holds(before, last):
    engines = EngineList()
    for era, offset, sequence, is_removed in before:
        item = None if is_removed else entry(sequence=sequence)
        engines.apply(update(position_of(era, offset), item, is_removed=is_removed), 0.0)
    era, offset, sequence, is_removed = last
    position = position_of(era, offset)
    if engines.is_known("e", position):
        listed_before = listed(engines)
        item = None if is_removed else entry(sequence=sequence, is_draining=True)
        assert not engines.apply(update(position, item, is_removed=is_removed), 0.0)
        assert listed(engines) == listed_before
