"""Engines that answer while a long upload is written, and end the connection before its end."""

import asyncio
import contextlib
import json
import socket
import struct

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.gateway.tests.test_streams import WHOLE
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.virtual_links import Cut

UPLOAD = b"u" * 3_000_000
SHORT_UPLOAD = UPLOAD[:60_000]
"""Upload that leaves the gateway at once, and waits in the system."""

SYSTEM_BYTES = 4096
"""Size of the buffers of an early engine, which leave most of an upload unsent."""

READ_BYTES = 10_000
"""Size of the part of an upload that is read where some of it is."""

EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
FRAMINGS = {
    "no length": b"",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "length": b"Content-Length: 900000\r\n",
}
ENDS = ("reset", "close and reset")
MOMENTS = ("at once", "after 0.1 s", "after some of the upload")


class EarlyEngine:
    """Answers management calls in order, and requests with the beginning of an answer."""

    def __init__(self, framing, end, moment, part):
        self.framing, self.end, self.moment = FRAMINGS[framing], end, moment
        self.part = part
        self.early_answers = 0
        self.writer_by_task = {}

    async def handle(self, reader, writer):
        self.writer_by_task[asyncio.current_task()] = writer
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1]
                if not target.startswith(b"/api/"):
                    await self.answer_early(head, reader, writer)
                    return
                await reader.readexactly(self.length_of(head))
                names_hold = target == b"/api/hold-take"
                body = json.dumps({"hold": "h1"} if names_hold else {"born": 2}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    @staticmethod
    def length_of(head):
        lines = (line.partition(b":") for line in head.lower().split(b"\r\n"))
        return next((int(value) for name, _, value in lines if name == b"content-length"), 0)

    async def answer_early(self, head, reader, writer):
        self.early_answers += 1
        lines = (line for line in head.split(b"\r\n") if line.lower().startswith(b"pimentoquay-re"))
        marks = b"".join(line + b"\r\n" for line in lines if b"-id:" in line.lower())
        assert self.length_of(head) in (len(UPLOAD), len(SHORT_UPLOAD))
        if self.moment == "after some of the upload":
            await reader.readexactly(READ_BYTES)
        part = self.part
        if b"chunked" in self.framing:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        writer.write(
            b"HTTP/1.1 200 OK\r\nPimentoquay-Server-Stamp: stamp\r\n"
            b"Content-Type: text/event-stream\r\n" + marks + self.framing + b"\r\n" + part
        )
        await writer.drain()
        if self.moment == "after 0.1 s":
            await asyncio.sleep(0.1)
        elif self.moment == "after some of the upload":
            await reader.readexactly(READ_BYTES)
        if self.end == "close and reset":
            writer.write_eof()
            await asyncio.sleep(0.1)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


@contextlib.asynccontextmanager
async def early_engine(env, name, *args):
    """Replace an engine, and all others of its kind, by an early one."""
    old = env.engine_by_id[name]
    early = EarlyEngine(*args)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SYSTEM_BYTES)
    sock.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(early.handle, sock=sock, limit=SYSTEM_BYTES)
    engine = PlatformEngine(name, old.service, stage=old.stage, born=2)
    engine.address = f"127.0.0.1:{sock.getsockname()[1]}"
    await env.store.put("keyed.servers", name, engine.entry())
    await env.store.put("keyed.servers", name.replace("1", "2"), b"")
    kind = {name, name.replace("1", "2")}
    for gateway in env.gateway_by_vm.values():
        fleet = gateway.fleet
        await until(
            lambda fleet=fleet: (
                [e.incarnation for e in fleet.engines() if e.id in kind and e.address] == [2]
            ),
            "listed",
        )
    try:
        yield early
    finally:
        server.close()
        for writer in early.writer_by_task.values():
            writer.transport.abort()
        await asyncio.gather(*early.writer_by_task, return_exceptions=True)


def check_no_answer(response, whole):
    """Check that the caller got an error, or the beginning of an answer that is no whole one."""
    if response.status == 200:
        assert whole.startswith(response.body) and not response.is_whole
    else:
        assert (response.status, response.body) == (502, b"")


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("path", ["/look/a", "/order/a"])
@pytest.mark.parametrize(
    "size, upload",
    [(600, UPLOAD), (600, SHORT_UPLOAD), (100_000, UPLOAD)],
    ids=["short", "short to a short upload", "long"],
)
async def test_the_part_of_an_early_answer_is_no_answer(size, upload, path, moment, end, framing):
    """One without a length was taken for whole if its engine closed before it reset."""
    part = b"y" * size
    async with rig() as env, early_engine(env, "desk-1", framing, end, moment, part) as early:
        response = await env.send_request(path, body=upload)
        assert early.early_answers
        check_no_answer(response, part)
        if size == 600:
            assert response.status == 502, "not forwarded before it is whole"


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("path", ["/digest/a", "/sheet/a"])
async def test_the_part_of_an_early_stream_is_not_the_whole(path, moment, end, framing):
    async with rig() as env, early_engine(env, "dec-1", framing, end, moment, EVENTS) as early:
        response = await env.send_request(path, headers=model_headers(), body=UPLOAD)
        assert early.early_answers
        check_no_answer(response, WHOLE)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("path", ["/look/a", "/order/a", "/digest/a", "/sheet/a"])
@pytest.mark.parametrize("upload", [UPLOAD, SHORT_UPLOAD], ids=["long", "short"])
async def test_the_part_of_an_early_answer_is_none_through_a_tunnel(upload, path, end, framing):
    is_stream = path in ("/digest/a", "/sheet/a")
    name, part = ("dec-1", EVENTS) if is_stream else ("desk-1", b"y" * 600)
    async with rig() as env:
        await env.add_gateway("vm-2")
        async with early_engine(env, name, framing, end, "at once", part) as early:
            env.links.cut("vm-1", Cut.REFUSED)
            async with asyncio.timeout(20):
                while not early.early_answers:
                    response = await env.send_request(path, headers=model_headers(), body=upload)
                    await asyncio.sleep(0.2)
            check_no_answer(response, WHOLE if is_stream else part)
            assert env.gateway_by_vm["vm-1"].paths.cut_engines
