"""Processor time that one more token and one more request cost an entry process.

For the caller's side, the entry's real server and request handling relay prepared frames of a
stand-in engine, and a plain socket in another thread reads the response. For the engine's side, the
HTTP client of an engine reads prepared frames from a plain socket. An entry bears both costs for
each token.
"""

import asyncio
import socket
import time
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from pimentoquay.backends.base import DecodeOrder, PrefillOrder, PrefillResult
from pimentoquay.backends.engine_http import HttpEngineClient
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.entry import RequestService, RequestSpec, SchedulerLink
from pimentoquay.entry.connections import bind, make_server
from pimentoquay.entry.placer import Placement
from pimentoquay.entry.relay import StreamedResponse
from pimentoquay.entry.settings import HttpSection
from pimentoquay.kernel import Envelope, Identity, Node, TimeLine, plugin
from pimentoquay.messages.cluster import ClusterView, Member, MemberKind, MemberState
from pimentoquay.messages.placement import Grant, Urgency
from pimentoquay.messages.workspaces import KindSpec
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

__all__ = ["PreparedAnswerEngine", "entry_on_loopback", "relay_slopes", "time_requests"]

TOKENS = 2000
"""Number of tokens in the long answer that is compared with an answer of one token."""

SHORT_REQUESTS = 200
"""Number of requests with an answer of one token in each sample."""

READ_BYTES = 65536
FRAME = (
    b'data: {"id": "cmpl-0", "choices": [{"index": 0, "text": "a1b ", "finish_reason": null}]}\n\n'
)
END_FRAMES = (
    b'data: {"choices": [{"index": 0, "text": "", "finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'
)
KIND = KindSpec("k", "m", Urgency.NORMAL, 60.0, 60.0, 10000, 10000, True)
ENGINE = Member("e", MemberKind.ENGINE, MemberState.LIVE, "r", "d", "e", "m", True)


class PreparedAnswerEngine:
    """Engine that answers with prepared frames, each sent on its own.

    Parameters
    ----------
    tokens : int
        Number of frames in an answer.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Return a result immediately."""
        return PrefillResult(1, 0, 1, 60.0)

    async def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Yield the prepared frames."""
        for _ in range(self.tokens):
            await asyncio.sleep(0)
            yield FRAME
        yield END_FRAMES


class FixedPlacer:
    """Placer that grants every request the same engine."""

    async def place(self, spec: RequestSpec, deadline: float) -> Placement:
        """Return a placement on the engine."""
        return Placement("m@d#0", Grant(spec.request_id, 0, "e", "e"))


@plugin("slope", "relay")
def relay_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure the processor time that a token and a request cost an entry."""
    return asyncio.run(_relay_slopes(repeats))


async def _relay_slopes(repeats: int) -> tuple[Slope, ...]:
    caller_side, requests = [], []
    for _ in range(repeats):
        seconds_of_all_tokens = await _time_caller_side(1, TOKENS)
        seconds_of_one_token = await _time_caller_side(1, 1)
        caller_side.append((seconds_of_all_tokens - seconds_of_one_token) / (TOKENS - 1) * 1e6)
        requests.append(await _time_caller_side(SHORT_REQUESTS, 1) / SHORT_REQUESTS * 1e6)
    engine_side = [await _time_engine_side() / TOKENS * 1e6 for _ in range(repeats)]
    both_sides = [
        caller + engine
        for caller, engine in zip(sorted(caller_side), sorted(engine_side), strict=True)
    ]
    return (
        slope_of("relay to the caller", "µs", "token", caller_side),
        slope_of("relay from the engine", "µs", "token", engine_side),
        slope_of("relay, both sides", "µs", "token", both_sides),
        slope_of("request at the entry, no scheduler", "µs", "request", requests),
    )


async def _time_caller_side(requests: int, tokens: int) -> float:
    return await time_requests(PreparedAnswerEngine(tokens), requests)


async def time_requests(
    engine: PreparedAnswerEngine, requests: int, timeline: TimeLine | None = None
) -> float:
    """Return the processor time of the entry's thread for a number of requests, in seconds.

    The caller is a blocking socket in a separate thread. In the entry's thread, its reading of each
    token would cost about as much as the sending and would be measured too.
    """
    async with entry_on_loopback(engine, timeline) as address:
        with socket.create_connection(address) as caller:
            await asyncio.to_thread(_exchange, caller, 1)
            started = time.thread_time()
            await asyncio.to_thread(_exchange, caller, requests)
            return time.thread_time() - started


def _exchange(caller: socket.socket, requests: int) -> None:
    for _ in range(requests):
        caller.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        tail = b""
        while not tail.endswith(b"0\r\n\r\n"):
            tail = tail[-8:] + caller.recv(READ_BYTES)


@asynccontextmanager
async def entry_on_loopback(
    engine: PreparedAnswerEngine, timeline: TimeLine | None = None
) -> AsyncIterator[tuple[str, int]]:
    """Serve an entry with the given engine only; yield the address of its server."""
    identity = Identity("vm", "entry", "r", "d", 1)
    node = Node(identity, MemoryNetwork().transport(identity))
    if timeline is not None:
        node.timeline = timeline
    peers = PeerSet(node)
    link = SchedulerLink(node, peers, "none")
    link.inbox.put_nowait(Envelope(ClusterView(1, (ENGINE,), ("vm",), ("d",))))
    engine_of: Any = lambda member: engine  # noqa: E731
    service = RequestService(node, link, engine_of)
    placer: Any = FixedPlacer()
    service.placer = placer
    count = 0

    async def app(scope: Any, receive: Any, send: Any) -> None:
        nonlocal count
        count += 1
        spec = RequestSpec(f"r{count}", "w", "m", KIND, "p", 1, (), 10000, False, True, 1)
        await StreamedResponse(service.run(spec), spec.request_id)(scope, receive, send)

    section = HttpSection(listen="127.0.0.1:0")
    server = make_server(app, section)
    with bind(section.listen) as listener:
        tasks = [
            asyncio.create_task(link.run()),
            asyncio.create_task(server.serve(sockets=[listener])),
        ]
        while not (server.started and link.directory.is_known):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        yield listener.getsockname()
        server.should_exit = True
        await tasks[1]
        tasks[0].cancel()
        await peers.close()
        node.timers.close()


async def _time_engine_side() -> float:
    """Return the processor time of reading one answer from an engine, in seconds."""
    chunk = b"%x\r\n%s\r\n" % (len(FRAME), FRAME)
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        for _ in range(TOKENS):
            await asyncio.sleep(0)
            writer.write(chunk)
        writer.write(b"0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = HttpEngineClient(f"{host}:{port}")
    started = time.process_time()
    async for _ in client.decode(DecodeOrder("r", 0, False)):
        pass
    elapsed = time.process_time() - started
    await client.close()
    server.close()
    return elapsed
