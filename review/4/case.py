"""A planned stop cuts answers that the engine had finished and that are still on their way.

Clients send streams that may run once only. The engine writes each answer within 1.5 s; the clients
read it at the pace of a thin line, without a pause, and would have it whole well within their time
budget and within the grace period. The gateway gets SIGTERM a second before the requests are sent,
while it still takes new channels. With TROUBLE=0 it gets none.
"""

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402
from pimentoquay.standin.platform_engine import PlatformEngine  # noqa: E402

EVENTS = 130
EVENT_BYTES = 1800
"""The largest number and size of the pieces of a stream in the site files."""

CLIENTS = 8
CLIENT_BYTES_PER_SECOND = 37_000
READ_BYTES = 1024
SENT_AFTER_TERM_SECONDS = 1.0
GRACE_SECONDS = 8.0
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 4096


class QuickEngine(PlatformEngine):
    """Decode engine with large events, which notes when it has written an answer."""

    def prepare(self, deployment):
        self.deployment = deployment

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        request_id = arrival.headers["pimentoquay-request-id"]
        self.deployment.note("run", engine=self.id, id=request_id)
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        for number in range(EVENTS):
            event = f"id: {number}\ndata: ".encode()
            event += b"x" * (EVENT_BYTES - len(event) - 2) + b"\n\n"
            reply.write(event)
            await asyncio.sleep(0.01)
        reply.end()
        self.deployment.note("run ended", engine=self.id, id=request_id)


async def read_slowly(deployment, gateway, request_id):
    """Send a stream and read its answer at a steady pace; return whether it came whole."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await loop.sock_connect(sock, (gateway.host, gateway.front))
        await loop.sock_sendall(sock, harness.request_bytes("/sheet/a", request_id, model=True))
        sent_at, data, is_whole, error = loop.time(), b"", False, None
        try:
            while not is_whole and (part := await loop.sock_recv(sock, READ_BYTES)):
                data += part
                is_whole = data.endswith(b"\r\n0\r\n\r\n")
                due_at = sent_at + len(data) / CLIENT_BYTES_PER_SECOND
                await asyncio.sleep(max(0.0, due_at - loop.time()))
        except OSError as failure:
            error = failure
    deployment.note(
        "answered",
        id=request_id,
        status=data[9:12].decode(),
        bytes=len(data),
        whole=is_whole,
        error=error,
        seconds=round(loop.time() - sent_at, 2),
    )
    return is_whole


async def main(deployment, is_disrupted):
    await deployment.start_store()
    for number in (1, 2):
        await deployment.add_engine(PlatformEngine(f"desk-{number}", "desk"))
    await deployment.add_engine(PlatformEngine("pre-1", "llm", stage="prefill"))
    for number in (1, 2):
        engine = QuickEngine(f"dec-{number}", "llm", stage="decode")
        engine.prepare(deployment)
        await deployment.add_engine(engine)
    await deployment.add_gateways(2)
    await asyncio.sleep(3.0)
    gateway = deployment.gateways[0]
    stopped_at = asyncio.get_running_loop().time()
    if is_disrupted:
        gateway.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_TERM_SECONDS)
    clients = [
        asyncio.create_task(read_slowly(deployment, gateway, f"s{number}"))
        for number in range(CLIENTS)
    ]
    if is_disrupted:
        await asyncio.wait_for(gateway.process.wait(), GRACE_SECONDS)
        seconds = asyncio.get_running_loop().time() - stopped_at
        deployment.note("process ended", exit=gateway.process.returncode, seconds=round(seconds, 2))
    whole = await asyncio.gather(*clients)
    deployment.note("at the end", sent=len(whole), whole=sum(whole), cut=len(whole) - sum(whole))
    return harness.HELD if all(whole) else harness.BROKEN


harness.run(main, FOLDER)
