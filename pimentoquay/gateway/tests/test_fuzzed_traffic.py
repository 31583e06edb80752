"""Inputs from outside that were changed, through running gateways beside sound traffic.

Checked: no gateway ends, each request is answered or its connection closed, and sound traffic is
served once the inputs are gone.
"""

import asyncio
import contextlib
import json
import re
from typing import Any

import looptime
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.gateway.mesh import Mesh
from pimentoquay.gateway.tests.fuzzed_inputs import (
    EVENTS,
    ORIGINS,
    QUARANTINE,
    VERSION,
    VM_ADDRESS,
    changed_bytes,
    changed_json,
    examples,
    messages,
)
from pimentoquay.gateway.tests.rig import configuration, rig, until
from pimentoquay.http1.tests.scripted import ScriptedServer
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.input_checks import MAX_INTEGER
from pimentoquay.messages import codec, encode
from pimentoquay.messages.pools import (
    Bundle,
    PlaceCancelled,
    PlaceClass,
    PlaceReply,
    PlaceRequest,
    PoolKey,
    PoolReport,
    PoolSummary,
    RelayAlive,
    Routed,
)
from pimentoquay.messages.tunnels import TunnelRequest
from pimentoquay.platform.store import PROMPT_TOPIC, STREAM_TOPIC, VERSION_TOPIC, VM_TOPIC
from pimentoquay.platform.tests.invalid_entries import ENTRY
from pimentoquay.standin.platform_engine import PlatformEngine

COUNT = 5
BATCH = 20
"""Inputs of an example, which one deployment takes one after the other."""

SECONDS = 60.0
"""Time after which a request that has no answer hangs; callers here wait for 2 s."""


def play(scenario, *inputs):
    """Run a scenario in virtual time, in a deployment of two gateways."""

    async def run():
        async with asyncio.timeout(10 * SECONDS), rig() as env:
            await env.add_gateway("vm-2", seeds=("vm-1:1",))
            await scenario(env, *inputs)

    with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=1000)) as runner:
        runner.run(run())


def check_alive(env):
    assert [vm for vm in env.gateway_by_vm if env.has_ended(vm)] == []


async def check_answered(env):
    """Send requests that may fail for what the inputs say, and check that none hangs."""
    async with asyncio.timeout(SECONDS):
        for vm in env.gateway_by_vm:
            for path in ("/look/a", "/order/a"):
                with contextlib.suppress(HttpError):
                    await env.send_request(path, vm=vm, deadline_ms=2000)
            with contextlib.suppress(HttpError):
                await env.stream(vm=vm, deadline_ms=2000)
    check_alive(env)


async def until_ok(send):
    for _ in range(100):
        if (await send()).status == 200:
            return
        await asyncio.sleep(0.5)
    pytest.fail("not served")


async def check_served(env):
    """Check that sound traffic is served; a circuit may be open for some seconds."""
    async with asyncio.timeout(SECONDS):
        for vm in env.gateway_by_vm:
            await until_ok(lambda vm=vm: env.send_request("/look/a", vm=vm))
            await until_ok(lambda vm=vm: env.stream(vm=vm))
    check_alive(env)


RECORDS = {
    "keyed.servers": changed_json(
        ENTRY | {"service": "other"}, ENTRY | {"service": "llm", "stage": "decode"}
    ),
    VM_TOPIC: changed_json(VM_ADDRESS),
    PROMPT_TOPIC: changed_json(QUARANTINE),
    VERSION_TOPIC: changed_json(VERSION),
    STREAM_TOPIC: changed_bytes(st.just(ORIGINS)),
    "keyed.op": changed_json(json.loads(configuration(version=2))),
}


async def put_records(env, topic, values):
    for number, value in enumerate(values):
        await env.store.put(topic, "config" if topic == "keyed.op" else f"i-{number}", value)
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    check_alive(env)
    await check_answered(env)
    await env.add_gateway("vm-3", seeds=("vm-1:1",), wait=False)
    await asyncio.sleep(0.5)
    check_alive(env)
    for number in range(len(values)):
        if topic != "keyed.op":
            await env.store.put(topic, f"i-{number}", b"")
    await env.store.put("keyed.op", "config", configuration(version=MAX_INTEGER))
    await asyncio.sleep(3.0)
    await check_served(env)


HEAD = b"HTTP/1.1 200 OK\r\nPimentoquay-Request-Id: ID\r\nPimentoquay-Server-Stamp: s\r\n"


def with_length(body, head=HEAD):
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(body):
    chunk = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk


CALL_HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWERS = changed_bytes(
    st.sampled_from(
        (
            with_length(b"sound"),
            in_chunks(b"sound"),
            in_chunks(EVENTS),
            HEAD + b"\r\n" + EVENTS,
            HEAD.replace(b"200 OK", b"503 No") + b"Retry-After: 1\r\nContent-Length: 0\r\n\r\n",
            with_length(b'{"kvHandle": "h", "tokens": 5000}'),
            with_length(b'{"hold": "h"}', CALL_HEAD),
            with_length(b'{"born": 2}', CALL_HEAD),
            HEAD + b"Server-Limit: 3\r\nServer-Leaving: 0\r\nContent-Length: 0\r\n\r\n",
        )
    )
)


class RawEngine(ScriptedServer):
    """Answers each request with the next bytes, in which ID stands for the request's id."""

    def next_script(self, head):
        found = re.search(rb"(?i)\r\npimentoquay-request-id: *([^\r]*)", head)
        return super().next_script(head).replace(b"ID", found[1] if found else b"")


async def answer_raw(env, answers):
    raw = RawEngine(*answers)
    async with await asyncio.start_server(raw.handle, "127.0.0.1", 0) as server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        for name, service, stage in (
            ("raw-1", "desk", ""),
            ("raw-2", "llm", "decode"),
            ("raw-3", "llm", "prefill"),
        ):
            engine = PlatformEngine(name, service, stage=stage, born=2)
            engine.address = address
            await env.store.put("keyed.servers", name, engine.entry())
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: "raw-3" in {each.id for each in fleet.engines()}, "listed")
        for _ in range(4):
            await check_answered(env)
        for name in ("raw-1", "raw-2", "raw-3"):
            await env.store.put("keyed.servers", name, b"")
        await until(lambda: "raw-3" not in {each.id for each in fleet.engines()}, "removed")
        await raw.close_connections()
    await check_served(env)


REQUEST = (
    b"POST /%s/a HTTP/1.1\r\nHost: shop.example\r\nPimentoquay-Request-Id: q%d\r\n"
    b"Pimentoquay-Deadline-Ms: 2000\r\nPimentoquay-Model: m\r\n"
    b"Pimentoquay-Token-Counts: 5000,8320\r\nPimentoquay-Prompt-Prefix: 5c1e07a2:200,91:4800\r\n"
)
REQUESTS = changed_bytes(
    st.builds(
        lambda path, number, rest: REQUEST % (path, number) + rest,
        st.sampled_from((b"look", b"order", b"digest", b"sheet")),
        st.integers(1, 10**6),
        st.sampled_from(
            (
                b"Content-Length: 1\r\n\r\nx",
                b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                b"Last-Event-Id: 2\r\nResumes: q1\r\nContent-Length: 0\r\n\r\n",
                b"Connection: close\r\n\r\n",
            )
        ),
    )
)


async def ask_raw(env, requests):
    async def ask(port, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.suppress(OSError):
            writer.write(data)
            if writer.can_write_eof():
                writer.write_eof()
            async with asyncio.timeout(SECONDS):
                while await reader.read(65536):
                    pass
        writer.close()

    for start in range(0, len(requests), 5):
        port = env.gateway_by_vm["vm-1"].caller_server.port
        await asyncio.gather(*(ask(port, each) for each in requests[start : start + 5]))
        check_alive(env)
    await check_served(env)


HANDLED = [
    each for each in vars(Mesh)["_dispatch"].dispatcher.registry if each in codec._number_by_class
]
"""Types of the messages that a gateway takes from its peers."""

CLASSES = st.builds(
    PlaceClass, messages(str), messages(PoolKey), st.integers(0, 9), st.text(max_size=20)
)
ROUTED = CLASSES | st.one_of(*map(messages, (PlaceRequest, PlaceReply, PlaceCancelled, PoolReport)))
NOTICES = st.one_of(
    *map(messages, (*HANDLED, TunnelRequest)),
    st.builds(
        Routed,
        st.sampled_from(("vm-1", "vm-2", "vm-9")),
        st.sampled_from(("vm-1", "vm-2", "vm-9")),
        st.integers(0, 3),
        changed_bytes(ROUTED.map(encode)) | ROUTED.map(encode),
    ),
    st.builds(
        lambda items: Bundle(tuple(items)),
        st.lists(
            changed_bytes((messages(RelayAlive) | messages(PoolSummary)).map(encode)), max_size=4
        ),
    ),
)


async def tell(env, notices):
    """Let vm-2 send messages whose values are of the right type and mean nothing."""
    for notice in notices:
        peers = env.gateway_by_vm["vm-2"].peers
        for channel in peers.channels("gateway"):
            channel.send(notice)
        await asyncio.sleep(0.05)
        check_alive(env)
    await check_answered(env)


PLAYS: dict[str, tuple[Any, ...]] = {
    **{f"records of {topic}": (put_records, topic, RECORDS[topic]) for topic in RECORDS},
    "answers of engines": (answer_raw, ANSWERS),
    "requests": (ask_raw, REQUESTS),
    "messages of peers": (tell, NOTICES),
}


@pytest.mark.parametrize("kind", PLAYS)
@given(st.data())
@examples(COUNT, shrinks=False)
def test_gateways_go_on_beside_changed_inputs(kind, data):
    scenario, *options, strategy = PLAYS[kind]
    inputs = data.draw(st.lists(strategy, min_size=BATCH, max_size=BATCH))
    play(scenario, *options, inputs)
