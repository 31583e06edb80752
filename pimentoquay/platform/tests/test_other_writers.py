"""Entries in the list of engines from other writers, and bytes that are no valid response."""

import itertools
import json

import h11
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pimentoquay.http1.client_connection import ClientConnection, ReusePolicy
from pimentoquay.platform.engine_entry import decode_engine_entry
from pimentoquay.platform.fields import DecodeError
from pimentoquay.policy.engine_list import EngineList, EngineUpdate
from pimentoquay.policy.fleet import EngineEntry, EngineStage

VALID = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "hall",
    "version": "v1",
    "slotCount": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 3,
    "born": 1764840000000,
    "stage": "decode",
}

names = st.sampled_from(sorted(VALID))
anything = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)


@seed(1)
@settings(deadline=None, max_examples=300)
@given(
    st.dictionaries(st.sampled_from(sorted(VALID)), anything),
    st.sets(st.sampled_from(sorted(VALID))),
)
def test_an_entry_with_changed_or_missing_fields_is_decoded_or_rejected(changed, missing):
    item = {name: value for name, value in (VALID | changed).items() if name not in missing}
    try:
        entry = decode_engine_entry("i-1", json.dumps(item).encode())
    except DecodeError:
        return
    assert isinstance(entry.service, str) and isinstance(entry.address, str)
    assert type(entry.slots) is int and type(entry.incarnation) is int
    assert type(entry.sequence) is int and isinstance(entry.stage, EngineStage)


@pytest.mark.parametrize("name", sorted(VALID.keys() - {"born", "stage"}))
@pytest.mark.parametrize("value", [..., None, ["v1"], {}, True])
def test_an_entry_that_lacks_a_field_or_has_one_of_another_type_names_no_engine(name, value):
    """Guards against entries of another writer that are used with a value in place of a field."""
    item = VALID | {name: value}
    if value is ...:
        del item[name]
    with pytest.raises(DecodeError):
        decode_engine_entry("i-1", json.dumps(item).encode())


@seed(2)
@settings(deadline=None, max_examples=300)
@given(st.binary(max_size=200))
def test_bytes_that_cannot_be_read_are_rejected(data):
    try:
        decode_engine_entry("i-1", data)
    except DecodeError:
        return
    raise AssertionError(f"{data!r} was accepted")


def entry(incarnation, sequence, is_draining):
    return EngineEntry(
        "e", "desk", "10.0.0.1:80", "hall", is_draining, 6, EngineStage.NONE, incarnation, sequence
    )


updates = st.lists(
    st.tuples(
        st.sampled_from(["entry", "removed", "unreadable"]),
        st.integers(1, 3),
        st.integers(0, 5),
        st.booleans(),
    ),
    max_size=12,
)


@seed(3)
@settings(deadline=None, max_examples=500)
@given(updates)
def test_an_engine_that_left_or_drains_comes_back_with_something_newer_or_as_it_goes_on(items):
    """Holds for starts whose ``born`` goes back and for heartbeats in any order.

    An engine goes on if a heartbeat that was never seen follows another one that says the same,
    came after something newer too, and is at most one heartbeat away. What is newer than the
    heartbeat by which it went on is newer, too.
    """
    engines = EngineList()
    newest: tuple[int, int] = (0, -1)
    in_force: tuple[int, int] = (0, -1)
    seen: set[tuple[int, int, bool]] = set()
    passed_over: set[tuple[int, int, bool]] = set()
    is_gone = False
    for position, (kind, incarnation, sequence, is_draining) in enumerate(items):
        if kind == "entry":
            update = EngineUpdate("e", position, entry(incarnation, sequence, is_draining))
        else:
            update = EngineUpdate("e", position, None, is_removed=kind == "removed")
        engines.apply((update,), 0.0)
        listed = engines.engines()
        if kind == "entry":
            beat = incarnation, sequence
            said = *beat, is_draining
            is_newer = beat > newest
            goes_on = said not in seen and any(
                (incarnation, sequence - step, is_draining) in passed_over for step in (1, 2)
            )
            may_return = is_newer or goes_on or (beat > in_force and said not in seen)
            if is_gone and not may_return:
                assert listed == ()
            if said not in seen and beat <= in_force:
                passed_over.add(said)
            seen.add(said)
            if is_newer:
                newest, is_gone = beat, False
                assert listed[0].is_draining is is_draining
            if listed and (listed[0].incarnation, listed[0].sequence) == beat:
                in_force, is_gone = beat, False
        elif listed == ():
            is_gone = True
        assert len(listed) <= 1


RESPONSES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=9\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
)


class Transport:
    """A transport that sends nowhere."""

    def __init__(self):
        self.is_aborted = False

    def write(self, data):
        pass

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True

    def pause_reading(self):
        pass

    resume_reading = pause_reading


class Connection(ClientConnection):
    """A connection outside of an event loop, which is never reused."""

    def _set_reuse_deadline(self, headers):
        pass


def received(parts):
    """Feed parts of a response to a connection; return its events and its failure."""
    connection = Connection(ReusePolicy())
    transport = Transport()
    connection.connection_made(transport)
    connection.send(b"GET", b"/", ((b"Host", b"a"),), b"", None)
    for part in parts:
        if transport.is_aborted:
            break
        connection.data_received(part)
    data = b"".join(bytes(e.data) for e in connection._events if isinstance(e, h11.Data))
    status = [e.status_code for e in connection._events if isinstance(e, h11.Response)]
    return status, data, connection._is_complete, connection._failure


@seed(4)
@settings(deadline=None, max_examples=300)
@given(st.sampled_from(RESPONSES), st.lists(st.integers(0, 120), max_size=8))
def test_a_response_means_the_same_however_it_is_split(response, cuts):
    edges = [0, *sorted({min(cut, len(response)) for cut in cuts}), len(response)]
    parts = [response[a:b] for a, b in itertools.pairwise(edges) if a < b]
    assert received(parts) == received([response])
    assert received(parts)[2]


@seed(5)
@settings(deadline=None, max_examples=600)
@given(
    st.sampled_from(RESPONSES),
    st.lists(st.tuples(st.integers(0, 120), st.binary(max_size=3)), min_size=1, max_size=4),
)
def test_a_mutated_response_fails_or_is_whole_and_raises_nothing(response, mutations):
    for position, data in mutations:
        position = min(position, len(response))
        response = response[:position] + data + response[position + len(data) :]
    status, _, is_complete, failure = received([response])
    if is_complete:
        assert len(status) == 1 or failure is not None
