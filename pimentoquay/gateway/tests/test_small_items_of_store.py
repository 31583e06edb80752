"""A store that sends thousands of tiny items in one page, or pages without end."""

import itertools
import json
import struct
from collections.abc import Callable

import pytest

from pimentoquay.gateway.feed import RECORDS_PER_TURN
from pimentoquay.gateway.tests.rig import Rig, configuration, until
from pimentoquay.http1.tests.endless_callers import most_in_one_pass
from pimentoquay.kernel.input_checks import refused_by_kind
from pimentoquay.kernel.turns import ITEMS_PER_TURN
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import PlatformStore

pytestmark = pytest.mark.usefixtures("one_turn_a_pass")

ENGINES = "keyed.servers"
RECORDS = 12_000
INVALID = b"\0\0\0\3\1ax" * RECORDS
"""Records of the engine ``a`` whose value is no entry."""

REMOVED = b"\0\0\0\2\1a" * RECORDS


class FaultyStore(PlatformStore):
    """Answers reads of the list of engines with what ``read`` and ``newest`` return, if set."""

    def __init__(self):
        super().__init__()
        self.read: Callable[[int], bytes] | None = None
        self.newest: Callable[[int], bytes] | None = None
        self.answers = 0

    async def _read(self, arguments, reply):
        if arguments["topic"] != ENGINES or not (self.read or self.newest):
            await super()._read(arguments, reply)
        elif self.read:
            self.answers += 1
            reply.send(200, (), self.read(int(arguments["from"])))
        else:
            reply.send(410, (), b"")

    def _newest(self, arguments, reply):
        if arguments["topic"] != ENGINES or not self.newest:
            super()._newest(arguments, reply)
        else:
            self.answers += 1
            reply.send(200, (), self.newest(self.answers))


@pytest.fixture
async def env():
    env = Rig(store=FaultyStore())
    try:
        env.store_address = await env.store.serve()
        await env.store.put("keyed.op", "config", configuration())
        await env.add_engine(PlatformEngine("desk-1", "desk"))
        await env.add_gateway()
        yield env
    finally:
        await env.close()


async def serve_some(env):
    for number in range(5):
        assert (await env.send_request(f"/order/{number}")).status == 200


async def test_invalid_records_of_one_page_are_refused_in_turns(env):
    """A page of them kept the callers waiting for longer than 20 s."""
    before = refused_by_kind["engine entry"]
    env.store.read = lambda start: struct.pack(">QQ", start + RECORDS, 0) + INVALID

    def refused():
        return refused_by_kind["engine entry"] - before

    most = await most_in_one_pass(refused, lambda: refused() >= RECORDS)
    assert most <= RECORDS_PER_TURN
    await serve_some(env)


@pytest.mark.parametrize("item", [b"1,", b"{},"])
async def test_invalid_items_of_one_page_of_newest_records_are_refused_in_turns(env, item):
    before = refused_by_kind["record"]
    page = b'{"endOffset":5,"hasMore":true,"items":[' + item * 10_000 + b"1]}"
    env.store.newest = lambda number: page

    def refused():
        return refused_by_kind["record"] - before

    most = await most_in_one_pass(refused, lambda: refused() >= 10_000)
    assert most <= 2 * ITEMS_PER_TURN
    assert env.gateway_by_vm["vm-1"].fleet.engines()
    await serve_some(env)


async def test_a_page_of_hundred_thousand_items_is_not_parsed(env):
    before = refused_by_kind["record"]
    page = b'{"endOffset":5,"hasMore":false,"items":[' + b"1," * 100_000 + b"1]}"
    env.store.newest = lambda number: page
    await until(lambda: env.store.answers > 2, "read again")
    assert refused_by_kind["record"] == before
    assert env.gateway_by_vm["vm-1"].fleet.engines()
    await serve_some(env)


async def test_records_that_one_read_leaves_are_read_next(env):
    gateway = env.gateway_by_vm["vm-1"]
    starts = []

    def read(start):
        starts.append(start)
        return struct.pack(">QQ", 41_000, 0) + REMOVED * ((41_000 - start) // RECORDS + 1)

    env.store.read = read
    await until(lambda: starts and starts[-1] >= 30_000, "read")
    assert starts == sorted(starts)
    assert all(later - first <= 16 * 1024 for first, later in itertools.pairwise(starts))
    assert gateway.fleet.engines()
    await serve_some(env)


async def test_newest_records_without_end_leave_the_list_as_it_was(env):
    """They were collected for as long as they came."""

    def newest(number):
        items = [{"key": f"k{number}", "value": "eA==", "offset": 1}]
        return json.dumps({"endOffset": 5, "hasMore": True, "items": items}).encode()

    env.store.newest = newest
    feed = env.gateway_by_vm["vm-1"].feed
    await until(lambda: feed._is_down, "refused")
    assert env.store.answers < 500
    assert [each.id for each in env.gateway_by_vm["vm-1"].fleet.engines()] == ["desk-1"]
    await serve_some(env)


async def test_a_topic_without_end_does_not_keep_the_others_from_being_read(env):
    """A poll ended only when the topic did, so the configuration was never read again."""
    env.store.read = lambda start: struct.pack(">QQ", 10_000_000, 0) + b"\0\0\0\2\1a"
    await until(lambda: env.store.answers > 5, "read")
    await env.store.put("keyed.op", "config", configuration(7))
    fleet = env.gateway_by_vm["vm-1"].fleet
    calls = env.store.answers
    await until(lambda: fleet.configuration.version == 7, "version 7")
    assert env.store.answers - calls < 200
