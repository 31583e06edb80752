"""Streams of a version that the store does not hold are refused when they are taken up again.

It shows an entry of KNOWN-RED.txt (test_a_stream_goes_on_at_its_version_though_the_store_does_not_
hold_it) with the programs; it is no case of its own. The gateway that writes for all is cut off from
the store while the engines of one version are replaced by those of another. Streams begin there,
and an engine of the old version is added again. Then the gateway of these streams is killed, and
their clients take them up at two others, which are in touch. Run it with ``python3
review/entry_versions.py``; it exits with 1 if fewer than half as many of them go on as new streams
begin, else with 0. With TROUBLE=0 the gateway is not cut off.
"""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import harness  # noqa: E402
from pimentoquay.standin.platform_engine import PlatformEngine  # noqa: E402

STREAMS = 14
NEW_STREAMS = 8
EVENTS = 30
EVENT_SECONDS = 0.25
CUT_SECONDS = 6.8
"""The longest cut of one machine from the store in pos-printfleet.toml."""


class VersionEngine(PlatformEngine):
    """Engine whose events begin at 0, and which notes what it runs."""

    deployment = None

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        after = arrival.headers.get("last-event-id")
        request_id = arrival.headers["pimentoquay-request-id"]
        self.deployment.note("run", id=request_id, version=self.software, after=after)
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        for number in range(int(after) + 1 if after is not None else 0, EVENTS):
            reply.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await asyncio.sleep(EVENT_SECONDS)
        reply.end()


def is_port_of(process, port):
    """Return whether a process has a socket with a local port."""
    inodes = set()
    for name in os.listdir(f"/proc/{process}/fd"):
        try:
            target = os.readlink(f"/proc/{process}/fd/{name}")
        except OSError:
            continue  # The descriptor was closed meanwhile.
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines())
    return any(row[1].endswith(f":{port:04X}") and row[9] in inodes for row in rows)


class StoreProxy:
    """Forwards connections to the store, those of one process not while it is cut off.

    All gateways need the same address of the store, from which they know each other.
    """

    def __init__(self):
        self.process = 0
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def serve(self, host, store_address):
        self._store = store_address.split(":")
        self._server = await asyncio.start_server(self._handle, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _handle(self, reader, writer):
        may_be_cut = is_port_of(self.process, writer.get_extra_info("peername")[1])
        store_reader, store_writer = await asyncio.open_connection(*self._store)
        await asyncio.gather(
            self._forward(reader, store_writer, may_be_cut),
            self._forward(store_reader, writer, may_be_cut),
            return_exceptions=True,
        )

    async def _forward(self, reader, writer, may_be_cut):
        while data := await reader.read(65536):
            if may_be_cut:
                await self.is_open.wait()
            writer.write(data)
        writer.close()


async def send_stream(gateway, request_id, prompt, more=""):
    data = harness.request_bytes("/digest/a", prompt, model=True)
    data = data.replace(
        f"Request-Id: {prompt}\r\n".encode(), f"Request-Id: {request_id}\r\n{more}".encode()
    )
    return await harness.send(gateway, data, seconds=14.0)


async def take_up(deployment, gateways, number, stream, went_on):
    """Take a broken stream up again, which is the one retry that the sheet gives a client."""
    request_id = f"s{number}"
    events = (await stream).event_ids
    more = f"Last-Event-Id: {events[-1]}\r\nResumes: {request_id}\r\n"
    gateway = gateways[number % len(gateways)]
    answer = await send_stream(gateway, f"{request_id}-again", request_id, more)
    deployment.note("taken up", id=request_id, after=events[-1], status=answer.status)
    if answer.status == 200:
        went_on.add(request_id)


async def main(deployment, is_disrupted):
    VersionEngine.deployment = deployment

    async def add(engine_id, stage, version):
        engine = VersionEngine(engine_id, "llm", stage=stage, software=version)
        return await deployment.add_engine(engine)

    await deployment.start_store()
    for number in (1, 2):
        await deployment.add_engine(PlatformEngine(f"desk-{number}", "desk"))
    old = [
        await add("pre-1", "prefill", "v1"),
        await add("dec-1", "decode", "v1"),
        await add("dec-2", "decode", "v1"),
    ]
    proxy = StoreProxy()
    deployment.store_address = await proxy.serve(deployment.host(3), deployment.store_address)
    deployment.gateways = [
        harness.Gateway(deployment, f"front-{number}", deployment.host(10 + number))
        for number in range(4)
    ]
    writer, *others, taking = deployment.gateways
    await writer.start()
    proxy.process = writer.process.pid
    await asyncio.gather(*(each.start() for each in (*others, taking)))
    await asyncio.gather(*(each.wait_ready() for each in deployment.gateways))
    await asyncio.sleep(6.0)
    if is_disrupted:
        deployment.note("cut off from the store", name=writer.name, seconds=CUT_SECONDS)
        proxy.is_open.clear()
        asyncio.get_running_loop().call_later(CUT_SECONDS, proxy.is_open.set)
    for engine in old:
        deployment.stop_beats(engine)
        await deployment.store.put("keyed.servers", engine.id, engine.entry("draining"))
    await add("pre-2", "prefill", "v2")
    for number in (3, 4):
        await add(f"dec-{number}", "decode", "v2")
    deployment.note("v1 is draining, v2 is ready")
    await asyncio.sleep(2.2)
    streams = [
        asyncio.create_task(send_stream(taking, f"s{number}", f"s{number}"))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(0.2)
    await add("dec-5", "decode", "v1")
    deployment.note("an engine of v1 is added")
    await asyncio.sleep(1.6)
    taking.signal(signal.SIGKILL)
    went_on, began = set(), set()

    async def begin(number):
        await asyncio.sleep(number * 0.15)
        answer = await send_stream(others[number % 2], f"n{number}", f"n{number}")
        deployment.note("new stream", id=f"n{number}", status=answer.status)
        if answer.status == 200:
            began.add(number)

    await asyncio.gather(
        *(
            take_up(deployment, others, number, each, went_on)
            for number, each in enumerate(streams)
        ),
        *(begin(number) for number in range(NEW_STREAMS)),
    )
    deployment.note("taken up", streams=STREAMS, went_on=len(went_on))
    deployment.note("new", streams=NEW_STREAMS, began=len(began))
    is_broken = len(went_on) / STREAMS < len(began) / NEW_STREAMS / 2
    return harness.BROKEN if is_broken else harness.HELD


with tempfile.TemporaryDirectory() as folder:
    harness.run(main, os.environ.get("RECORD_FOLDER", folder))
