"""Engines that send many small items without end, beside sound requests of other clients."""

import asyncio
import contextlib
import itertools
import json
import tracemalloc

import pytest

from pimentoquay.gateway.event_reader import EventReader
from pimentoquay.gateway.tests.rig import Response, configuration, rig, route, until
from pimentoquay.gateway.tests.test_endless import CHUNKED, HEAD
from pimentoquay.http1 import ClientConnection
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.turns import ITEMS_PER_TURN
from pimentoquay.standin.platform_engine import PlatformEngine

ENDLESS_REQUESTS = 6
SOUND_REQUESTS = 12
SOUND_SECONDS = 2.5
"""Time budget of a sound request."""

MAX_WAIT_SECONDS = 1.0
"""Longest wait of a sound request beside other load, two fifths of its time budget."""

MAX_LATE_SECONDS = 0.5
"""Time after its deadline by which a request has ended beside other load."""

MAX_ITEMS_PER_PASS = 16 * ITEMS_PER_TURN
"""A turn for each connection of an endless answer, at the gateway and at its caller, and some for
what runs beside; without a bound, one read alone has 2,700 items and more."""

MAX_MEMORY_BYTES = 2 * 1024 * 1024
"""Stated limit of the memory that 20 connections to such an engine may use."""

STANDIN_BYTES_PER_CONNECTION = (64 + 16) * 1024
"""Send buffer of an endless server, or of the gateway towards a caller, in the same process."""

ID = b"Pimentoquay-Request-Id: "
SIGNED = HEAD + b"Pimentoquay-Server-Stamp: s\r\n" + ID + b"$ID\r\n"
STREAM = SIGNED + b"Content-Type: text/event-stream\r\n"
REFUSED = SIGNED.replace(b"200 OK", b"503 Busy") + b"Pimentoquay-Not-Executed: 1\r\n"
TINY = b"1\r\nx\r\n" * 2700
OTHERS = (HEAD + ID + b"other\r\nContent-Length: 0\r\n\r\n") * 250


def in_chunks(data):
    """Return data as chunks of one byte."""
    return b"".join(b"1\r\n%c\r\n" % byte for byte in data)


PLAIN = {
    "chunks of one byte": (SIGNED + CHUNKED, TINY),
    "chunks of one byte in a 503": (REFUSED + CHUNKED, TINY),
    "answers to others": (b"", OTHERS),
}
DECODE = {
    "chunks of one byte": (STREAM + CHUNKED, TINY),
    "chunks of one byte in a 503": (REFUSED + CHUNKED, TINY),
    "comments in chunks of one byte": (STREAM + CHUNKED, in_chunks(b":\n\n" * 900)),
    "comments": (STREAM + b"\r\n", b":\n\n" * 5000),
    "blank lines": (STREAM + b"\r\n", b"\n" * 16_000),
    "events without an id": (STREAM + b"\r\n", b"data: x\n\n" * 1800),
    "answers to others": (b"", OTHERS),
}
FORMS = [
    *(("plain", name, *form) for name, form in PLAIN.items()),
    *(("decode", name, *form) for name, form in DECODE.items()),
    ("prefill", "chunks of one byte", HEAD + CHUNKED, TINY),
    ("prefill", "answers to others", b"", OTHERS),
    ("calls", "chunks of one byte", HEAD + CHUNKED, TINY),
    ("calls", "chunks of one byte in a 503", REFUSED + CHUNKED, TINY),
]
ENGINES_BY_KIND = {
    "plain": (("desk-1", "desk", ""), ("desk-2", "desk", "")),
    "decode": (("dec-1", "llm", "decode"), ("dec-2", "llm", "decode")),
    "prefill": (("pre-1", "llm", "prefill"), ("pre-2", "llm", "prefill")),
    "calls": (("dec-1", "llm", "decode"), ("dec-2", "llm", "decode")),
}


class SmallItemsServer:
    """Sends a beginning, then a block of small items until the connection is closed.

    A server of decodes answers management calls as a sound engine does.
    """

    def __init__(self, beginning, block, answers_calls):
        self.beginning, self.block = beginning, block
        self.answers_calls = answers_calls
        self.names = itertools.count()
        self.begun = 0
        self._writer_by_task = {}

    async def close_connections(self):
        """Abort all connections, and wait for their tasks, so that none outlives the loop."""
        tasks = tuple(self._writer_by_task)
        for writer in self._writer_by_task.values():
            writer.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def handle(self, reader, writer):
        self._writer_by_task[asyncio.current_task()] = writer
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int((head.lower().partition(b"content-length:")[2] or b"0").split()[0])
                await reader.readexactly(length)
                if not self.answers_calls or b" /api/" not in head.partition(b"\r\n")[0]:
                    break
                body = b'{"hold": "h%d"}' % next(self.names)
                writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            self.begun += 1
            request_id = head.partition(ID)[2].partition(b"\r\n")[0]
            writer.write(self.beginning.replace(b"$ID", request_id))
            while True:
                writer.write(self.block)
                await writer.drain()
        del self._writer_by_task[asyncio.current_task()]
        writer.close()


@contextlib.asynccontextmanager
async def small_items(env, kind, beginning, block):
    """Let all engines of a kind send small items, and add a sound server of another service."""
    item = json.loads(configuration(2))
    item["routes"].append(route("pick", "non_idempotent", "shelf", maxAttempts=1))
    item["services"].append(dict(item["services"][0], name="shelf"))
    await env.store.put("keyed.op", "config", json.dumps(item).encode())
    await env.add_engine(PlatformEngine("shelf-1", "shelf"))
    server = SmallItemsServer(beginning, block, answers_calls=kind == "decode")
    listening = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    for engine_id, service, stage in ENGINES_BY_KIND[kind]:
        engine = PlatformEngine(engine_id, service, stage=stage, born=2)
        engine.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
        await env.store.put("keyed.servers", engine_id, engine.entry())
    gateway = env.gateway_by_vm["vm-1"]
    names = {each[0] for each in ENGINES_BY_KIND[kind]}
    await until(
        lambda: names <= {each.id for each in gateway.fleet.engines() if each.incarnation == 2}
        and gateway.fleet.accepting_engines("shelf"),
        "listed",
    )
    try:
        yield server
    finally:
        listening.close()
        await server.close_connections()


async def keep_sending(env, kind, client):
    """Send requests that meet the engines of a kind, one after the other."""
    for number in itertools.count():
        request = env.send_request if kind == "plain" else env.stream
        path = "order" if kind == "plain" else "digest"
        with contextlib.suppress(HttpError):
            await request(f"/{path}/{client}-{number}")
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def endless_requests(env, kind, server, count=ENDLESS_REQUESTS):
    """Have clients at whose requests the engines send small items."""
    tasks = [asyncio.create_task(keep_sending(env, kind, client)) for client in range(count)]
    try:
        await until(lambda: server.begun, "begun")
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def sound_waits(env, count=SOUND_REQUESTS):
    """Send sound requests one after the other; return the seconds that each one took."""
    loop = asyncio.get_running_loop()
    waits = []
    for number in range(count):
        began_at = loop.time()
        response = await env.send_request(f"/pick/{number}", deadline_ms=2500)
        assert (response.status, response.is_whole) == (200, True)
        waits.append(loop.time() - began_at)
        await asyncio.sleep(0.02)
    return waits


class ItemCount:
    """Counts the items that are handled in each pass of the event loop, at all connections."""

    def __init__(self, monkeypatch):
        self.now = self.most = 0
        for owner, name, count in (
            (ClientConnection, "_process_event", lambda event: 1),
            (EventReader, "_take_sound", len),
        ):
            monkeypatch.setattr(owner, name, self._counted(getattr(owner, name), count))

    def _counted(self, original, count):
        def counted(owner, items):
            self.now += count(items)
            return original(owner, items)

        return counted

    async def watch(self):
        while True:
            self.most, self.now = max(self.most, self.now), 0
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("kind", "beginning", "block"),
    [(kind, *form) for kind, _, *form in FORMS],
    ids=[f"{kind}: {name}" for kind, name, *_ in FORMS],
)
async def test_other_clients_are_served_in_time(kind, beginning, block, monkeypatch):
    """They waited for up to 3 s, as all items of a read were handled before anything else ran."""
    async with (
        rig() as env,
        small_items(env, kind, beginning, block) as server,
        endless_requests(env, kind, server),
    ):
        count = ItemCount(monkeypatch)
        watch = asyncio.create_task(count.watch())
        waits = await sound_waits(env)
        watch.cancel()
        assert count.most <= MAX_ITEMS_PER_PASS
        assert max(waits) <= MAX_WAIT_SECONDS


MANY = 200
MAX_MEMORY_BYTES_PER_REQUEST = MAX_MEMORY_BYTES // 20 + 2 * STANDIN_BYTES_PER_CONNECTION

MAX_MANY_ITEMS_PER_PASS = MANY * ITEMS_PER_TURN + MAX_ITEMS_PER_PASS
"""The first items of a read are handled at once, so many first reads may meet in one pass."""

MANY_FORMS = {
    "plain": PLAIN["chunks of one byte"],
    "decode": DECODE["comments"],
    "calls": (HEAD + CHUNKED, TINY),
}


# The memory of the engines admits 16 streams at once, so more requests only wait for it.
@pytest.mark.parametrize(("kind", "count"), [("plain", MANY), ("decode", 40), ("calls", MANY)])
async def test_memory_stays_bounded_with_hundreds_of_requests_at_such_engines(kind, count):
    async with rig() as env, small_items(env, kind, *MANY_FORMS[kind]) as server:
        tracemalloc.start()
        try:
            async with endless_requests(env, kind, server, count):
                await asyncio.sleep(1.5)
                _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < count * MAX_MEMORY_BYTES_PER_REQUEST + MAX_MEMORY_BYTES


async def test_other_clients_are_served_in_time_beside_hundreds_of_such_answers(monkeypatch):
    async with (
        rig() as env,
        small_items(env, "plain", *MANY_FORMS["plain"]) as server,
        endless_requests(env, "plain", server, MANY),
    ):
        await until(lambda: server.begun >= MANY, "begun")
        count = ItemCount(monkeypatch)
        watch = asyncio.create_task(count.watch())
        waits = await sound_waits(env, 6)
        watch.cancel()
        assert count.most <= MAX_MANY_ITEMS_PER_PASS
        assert max(waits) <= SOUND_SECONDS


@pytest.mark.parametrize(
    ("kind", "name"), [("plain", "chunks of one byte"), ("decode", "blank lines")]
)
async def test_such_an_answer_ends_in_the_time_of_its_request(kind, name):
    """It ended seconds later, as its deadline was looked at only between two reads."""
    form = {"plain": PLAIN, "decode": DECODE}[kind][name]
    async with rig() as env, small_items(env, kind, *form):
        request = env.send_request if kind == "plain" else env.stream
        path = "order" if kind == "plain" else "digest"
        began_at = asyncio.get_running_loop().time()
        answers = await asyncio.gather(
            *(request(f"/{path}/{n}", deadline_ms=1000) for n in range(ENDLESS_REQUESTS)),
            return_exceptions=True,
        )
        assert not any(
            isinstance(each, Response) and each.is_whole and each.status == 200 for each in answers
        )
        assert asyncio.get_running_loop().time() - began_at <= 1.0 + MAX_LATE_SECONDS
