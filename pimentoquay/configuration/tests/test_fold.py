"""Replay of the log, compared with a simple reference implementation.

Readers that start in the middle of the log, or that peers update, have to reach the same state.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoquay.configuration import fold
from pimentoquay.configuration.checkpoint import Bootstrap, checkpoint_parts
from pimentoquay.configuration.fold import ConfigurationState, OffsetGapError
from pimentoquay.configuration.relay import EntriesReceiver, entries_after
from pimentoquay.configuration.tests.samples import change_data
from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.kernel import ResultCode
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.configuration import ConfigurationCheckpoint
from pimentoquay.messages.workspaces import ConfigurationRecord

NAMES = ("hall", "school", "press")
MEMORY = 12


@pytest.fixture(autouse=True)
def _short_memory(monkeypatch):
    monkeypatch.setattr(fold, "MEMORY_OFFSETS", MEMORY)


@st.composite
def logs(draw) -> list[bytes]:
    """Draw a log of changes on valid, stale and future bases, repeats, noise and checkpoints."""
    log: list[bytes] = []
    steps = draw(st.lists(st.integers(0, 9999), min_size=1, max_size=40))
    for index, step in enumerate(steps):
        state = state_of(log)
        name = NAMES[step % 3]
        bases = (state.version_of(name), state.version_of(name), 0, max(0, index - 4), index + 3)
        weight = None if step % 7 == 0 else step
        if step % 11 == 0:
            log.append(b"\xffnoise")
        elif step % 13 == 0:
            lag = draw(st.integers(0, min(5, len(log))))
            parts = checkpoint_parts(state_of(log[: len(log) - lag]), f"g{index}", 200)
            log.extend(parts)
        else:
            change_id = f"c{index}" if step % 5 else f"c{max(0, index - 2)}"
            log.append(change_data(change_id, name, bases[step // 7 % 5], weight))
    return log


def state_of(log: list[bytes]) -> ConfigurationState:
    """Return the state after replay of a whole log."""
    state = ConfigurationState()
    for offset, data in enumerate(log):
        state.fold(offset, data)
    return state


def comparable_state(state: ConfigurationState) -> tuple:
    """Return everything of a state that affects the replay of further records."""
    entries = {name: entry.record for name, entry in state.entry_by_name.items()}
    return state.offset, entries, state.outcome_by_change


def reference_workspaces(log: list[bytes]) -> dict[str, ConfigurationRecord]:
    """Return the workspaces after a log, decided by a search of all earlier records."""
    accepted: list[tuple[int, ConfigurationRecord]] = []
    seen_at: dict[str, int] = {}
    for offset, data in enumerate(log):
        try:
            record = decode(data)
        except CodecError:
            continue
        if not isinstance(record, ConfigurationRecord):
            continue
        if seen_at.get(record.change_id, -MEMORY - 1) >= offset + 1 - MEMORY:
            continue
        seen_at[record.change_id] = offset
        changes_of_workspace = [item for item in accepted if item[1].name == record.name]
        if (
            changes_of_workspace
            and changes_of_workspace[-1][1].workspace is None
            and changes_of_workspace[-1][0] + 1 <= offset + 1 - MEMORY
        ):
            changes_of_workspace = []
        version = changes_of_workspace[-1][0] + 1 if changes_of_workspace else 0
        live = bool(changes_of_workspace) and changes_of_workspace[-1][1].workspace is not None
        right_base = record.base == version or (record.base == 0 and not live)
        if right_base and (live or record.workspace is not None):
            accepted.append((offset, record))
    last = {record.name: (offset, record) for offset, record in accepted}
    return {name: item[1] for name, item in last.items() if item[1].workspace is not None}


@settings(max_examples=150, deadline=None)
@given(logs())
def test_fold_agrees_with_reference_implementation(log):
    expected = {name: record.workspace for name, record in reference_workspaces(log).items()}
    assert state_of(log).workspace_by_name() == expected


@settings(max_examples=150, deadline=None)
@given(logs(), st.data())
def test_reader_from_any_retained_offset_reaches_the_same_state(log, data):
    keep = data.draw(st.integers(0, len(log)))
    state = state_of(log[:keep])
    tail = [*log[:keep], *checkpoint_parts(state, "last", 200), *log[keep:]]
    start = data.draw(st.integers(0, keep))
    bootstrap = Bootstrap(start)
    found = None
    for offset in range(start, len(tail)):
        if found is not None:
            found.fold(offset, tail[offset])
        else:
            found = bootstrap.add(offset, tail[offset])
    assert found is not None
    assert comparable_state(found) == comparable_state(state_of(tail))


@settings(max_examples=150, deadline=None)
@given(logs(), st.data())
def test_reader_fed_by_peers_and_log_in_turns_reaches_the_same_state(log, data):
    state, receiver, view = None, EntriesReceiver(), ConfigurationView()
    peer_offsets = sorted(data.draw(st.lists(st.integers(0, len(log)), min_size=1, max_size=6)))
    for peer_offset in [*peer_offsets, len(log)]:
        after = data.draw(st.integers(-1, state.offset)) if state is not None else -1
        for entries in entries_after(state_of(log[:peer_offset]), after):
            state = receiver.add(state, decode(encode(entries)))
            view.apply(entries)
        assert state is not None
        read_end = data.draw(st.integers(state.offset, max(state.offset, peer_offset)))
        for offset in range(state.offset, read_end):
            state.fold(offset, log[offset])
        assert comparable_state(state) == comparable_state(state_of(log[: state.offset]))
    names = state_of(log).workspace_by_name()
    for name in NAMES:
        found = view.workspace_of_key(f"key-of-{name}")
        assert (found.workspace if found else None) == names.get(name)


def test_first_change_on_a_base_wins_and_repeats_fold_once():
    log = [
        change_data("a", "hall", 0, 1),
        change_data("b", "hall", 1, 2),
        change_data("c", "hall", 1, 3),
        change_data("b", "hall", 1, 2),
    ]
    state = ConfigurationState()
    outcomes = [state.fold(offset, data) for offset, data in enumerate(log)]
    assert [outcome and outcome.code for outcome in outcomes] == [
        ResultCode.CONFIG_ACCEPTED,
        ResultCode.CONFIG_ACCEPTED,
        ResultCode.CONFIG_CONFLICT,
        None,
    ]
    assert [outcome.version for outcome in outcomes if outcome] == [1, 2, 2]
    assert state.version_of("hall") == 2


def test_removed_workspace_can_be_recreated_but_not_changed_on_its_old_base():
    state = state_of(
        [
            change_data("a", "hall", 0),
            change_data("b", "hall", 1, None),
            change_data("c", "hall", 1, 5),
        ]
    )
    assert state.workspace_by_name() == {} and state.version_of("hall") == 2
    state.fold(3, change_data("d", "hall", 0, 6))
    assert state.version_of("hall") == 4


def test_reappended_record_cannot_undo_a_later_version():
    old = decode(change_data("a", "hall", 0, 1))
    again = ConfigurationRecord("a2", "hall", 0, 1, old.workspace, "vm")
    state = state_of([encode(old), change_data("b", "hall", 1, 2), encode(again)])
    assert state.workspace_by_name()["hall"].weight == 2


def test_malformed_records_of_a_peer_and_of_a_checkpoint_change_nothing():
    state = state_of([change_data("a", "hall", 0, 1)])
    before = comparable_state(state)
    for data in (b"noise", change_data("b", "hall", 1, 2)):
        bad = ConfigurationEntries(1, 2, 0, 1, -1, 0, (data,), ())
        assert EntriesReceiver().add(state, bad) is state
        assert comparable_state(state) == before
        bootstrap = Bootstrap(5)
        part = encode(ConfigurationCheckpoint("g", 0, 5, 0, 1, (data,), ()))
        assert bootstrap.add(5, part) is None
        (whole,) = checkpoint_parts(state_of([b""] * 5), "h", 200)
        assert bootstrap.add(6, whole) is not None


def test_record_after_a_gap_is_rejected():
    with pytest.raises(OffsetGapError, match="record 3 does not follow"):
        ConfigurationState().fold(3, b"")
