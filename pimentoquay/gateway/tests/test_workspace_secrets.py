"""No log line, metric, message, record or answer shows a key; invalid workspaces end no process."""

import asyncio
import json

import pytest

from pimentoquay.gateway.tests.rig import until
from pimentoquay.gateway.tests.test_deadly_requests import Servers
from pimentoquay.gateway.tests.test_workspaces import KINDS
from pimentoquay.gateway.tests.workspace_rig import (
    ALL_ROUTES,
    KEY,
    NEW_KEY,
    OTHER_KEY,
    SPOOFED,
    TENANTS,
    arrivals,
    check_named,
    document,
    key_header,
    publish,
    send,
    tenant,
    workspace_rig,
)
from pimentoquay.http1 import HttpRequest
from pimentoquay.kernel.input_checks import refused_by_kind
from pimentoquay.kernel.logs import logger
from pimentoquay.messages import codec, encode
from pimentoquay.messages.fleet import FleetCopy
from pimentoquay.platform import parse_request
from pimentoquay.platform.tests.test_workspaces import WRONG_KEYS, WRONG_WORKSPACES
from pimentoquay.transport.memory import MemoryNetwork

pytestmark = pytest.mark.looptime(start=1000)

KEYS = (KEY, OTHER_KEY, NEW_KEY, b"nobody-9e1f")


@pytest.fixture
def lines():
    """Collect all log lines of all levels with their fields."""
    found = []
    sink = logger.add(lambda line: found.append(str(line)), serialize=True, level=0)
    yield found
    logger.remove(sink)


def check_hidden(text):
    for key in KEYS:
        assert key.decode() not in text


async def send_all(env):
    """Send requests of all kinds with known and unknown keys, to engines that fail in all ways."""
    for path in (*KINDS, "/open/a", "/nowhere/a"):
        for key in KEYS:
            await send(env, path, key, SPOOFED)
            await send(env, path, key, body=b"deadly")


async def raw(env, lines):
    """Send a head as it is, and return all that comes back."""
    port = env.gateway_by_vm["vm-1"].caller_server.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"\r\n".join((b"POST /look/a HTTP/1.1", b"Host: shop.example", *lines)))
    writer.write(b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    async with asyncio.timeout(5.0):
        answer = await reader.read()
    writer.close()
    return answer


async def test_no_key_is_in_logs_metrics_or_records_of_the_store(lines):
    """Crash evidence, digests, quarantines and origins of streams leave the process."""
    async with workspace_rig() as env:
        await env.add_gateway("vm-2")
        servers = Servers(env, env.engine_by_id, deadly=(b"deadly",))
        await send_all(env)
        await servers.all_back()
        assert sum(each.guard.reported_crashes for each in env.gateway_by_vm.values()) > 0
        for gateway in env.gateway_by_vm.values():
            check_hidden(gateway.dispatcher._shared.metrics.text())
            check_hidden(repr(gateway.fleet.configuration))
        for topic, log in env.store._topic_by_name.items():
            for key, value in log.records:
                if topic != "keyed.op":
                    check_hidden(key + value.decode("latin-1"))
    assert any("crashed under a request" in line for line in lines)
    check_hidden("\n".join(lines))


async def test_messages_to_peers_hold_no_key_but_in_the_configuration(monkeypatch):
    messages = []
    encode_as_before = codec.encode

    def record(message):
        messages.append(message)
        return encode_as_before(message)

    for module in ("transport.framing", "transport.memory", "gateway.relays", "gateway.mesh"):
        monkeypatch.setattr(f"pimentoquay.{module}.encode", record, raising=False)
    async with workspace_rig() as env:
        await env.add_gateway("vm-2")
        servers = Servers(env, env.engine_by_id, deadly=(b"deadly",))
        await send_all(env)
        await servers.all_back()
    seen = {type(each).__name__ for each in messages}
    assert isinstance(env.network, MemoryNetwork) and {"CrashEvidence", "FleetCopy"} <= seen
    for message in messages:
        if not isinstance(message, FleetCopy):
            check_hidden(encode(message).decode("latin-1"))


MALFORMED = {
    "a space before the colon": (b"Pimentoquay-Key : " + KEY,),
    "a zero byte": (b"Pimentoquay-Key: " + KEY + b"\x00",),
    "no colon": (b"Pimentoquay-Key " + KEY,),
    "a name with a control byte": (b"Pimentoquay-Key\x0b: " + KEY,),
    "a length that is none": (b"Content-Length: " + KEY,),
    "a transfer coding": (b"Transfer-Encoding: " + KEY,),
}


@pytest.mark.parametrize("name", MALFORMED)
async def test_a_malformed_head_with_a_key_is_refused_and_not_logged(name, lines):
    """The parser's message repeated the whole line, which went to the log."""
    async with workspace_rig() as env:
        answer = await raw(env, MALFORMED[name])
        assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501"))
        assert arrivals(env) == []
    assert any("invalid request rejected" in line for line in lines)
    check_hidden("\n".join(lines))


@pytest.mark.parametrize(
    "head",
    [
        (b"PIMENTOQUAY-key: \t" + KEY + b"\t ",),
        (b"Pimentoquay-Key:" + KEY,),
        (b"Pimentoquay-Key:", b" " + KEY),
        (b"Connection: Pimentoquay-Key", b"Pimentoquay-Key: " + KEY),
    ],
)
async def test_spaces_case_and_folding_of_the_header_do_not_matter(head):
    async with workspace_rig() as env:
        assert (await raw(env, head)).startswith(b"HTTP/1.1 200")
        check_named(env)


async def test_a_key_of_64_kb_is_refused_and_not_logged(lines):
    async with workspace_rig() as env:
        answer = await raw(env, (b"Pimentoquay-Key: " + KEY * 5000,))
        assert answer.startswith((b"HTTP/1.1 431", b"HTTP/1.1 400"))
        assert arrivals(env) == [] and (await send(env)).status == 200
    check_hidden("\n".join(lines))


async def test_a_key_in_a_trailer_is_not_read():
    async with workspace_rig() as env:
        port = env.gateway_by_vm["vm-1"].caller_server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST /look/a HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n1\r\nx\r\n0\r\nPimentoquay-Key: " + KEY + b"\r\n\r\n"
        )
        async with asyncio.timeout(5.0):
            assert (await reader.read()).startswith(b"HTTP/1.1 401")
        writer.close()
        assert arrivals(env) == []


async def test_a_dump_of_the_table_in_force_shows_no_key():
    """Only the document holds keys; the table lives as long as the process."""
    async with workspace_rig() as env:
        assert (await send(env)).status == 200
        table = env.gateway_by_vm["vm-1"].fleet.configuration.workspaces
        check_hidden(repr(vars(table)))


def test_no_representation_of_a_request_shows_its_key():
    request = parse_request((*key_header(), (b"Host", b"a")))
    assert request.key == KEY
    check_hidden(repr(request))
    http_request = HttpRequest(b"GET", b"/", key_header(), b"", 0.0)
    check_hidden(repr(http_request))


async def test_all_invalid_workspaces_together_end_no_gateway_and_others_hold(lines):
    tenants = [*WRONG_WORKSPACES.values(), tenant("huka270", KEY)]
    tenants += [{"name": "keys", "apiKeys": [*WRONG_KEYS.values(), OTHER_KEY.decode()]}]
    tenants += [tenant("huka272", NEW_KEY), tenant("huka273", NEW_KEY)]
    before = refused_by_kind["workspace"]
    async with workspace_rig() as env:
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        await env.store.put("keyed.op", "config", document(2, tenants))
        fleets = [each.fleet for each in env.gateway_by_vm.values()]
        await until(lambda: all(each.configuration.version == 2 for each in fleets), "applied")
        count = len(WRONG_WORKSPACES) + len(WRONG_KEYS) + 1
        assert refused_by_kind["workspace"] - before == 2 * count
        for vm in env.gateway_by_vm:
            assert not env.has_ended(vm)
            assert (await send(env, vm=vm)).status == 200
            assert (await send(env, key=OTHER_KEY, vm=vm)).status == 200
            assert (await send(env, key=NEW_KEY, vm=vm)).status == 401
            assert (await send(env, key=b"banf-secret", vm=vm)).status == 401
        metrics = env.gateway_by_vm["vm-1"].dispatcher._shared.metrics
        assert f'inputs_refused_total{{kind="workspace"}} {before + 2 * count}\n' in metrics.text()
        reasons = metrics.unauthenticated_by_reason
        assert reasons == {"key of several workspaces": 1, "key unknown": 1}
    logged = [line for line in lines if "invalid workspace ignored" in line]
    assert logged and not any("secret" in line for line in logged)
    check_hidden("\n".join(lines))


async def test_each_401_is_logged_with_its_reason(lines):
    async with workspace_rig() as env:
        for key in (None, b"nobody-9e1f"):
            await send(env, key=key, request_id=f"id-{key!r}")
    ends = [json.loads(line)["record"]["extra"] for line in lines if "request ended" in line]
    found = [(each["code"], each["detail"]) for each in ends]
    assert found == [(204, "key missing"), (204, "key unknown")]


async def test_requests_are_counted_by_workspace_in_a_bounded_number(monkeypatch):
    monkeypatch.setattr("pimentoquay.gateway.metrics.MAX_NAMES", 2)
    tenants = [tenant(f"w{number}", b"key-%d" % number) for number in range(5)]
    async with workspace_rig(tenants=tenants) as env:
        for number in (0, 1, 2, 3, 4, 1, 2):
            assert (await send(env, key=b"key-%d" % number)).status == 200
        counts = env.gateway_by_vm["vm-1"].dispatcher._shared.metrics.requests_by_workspace
        assert counts.count_by_label == {"w0": 1, "w1": 2, "(other)": 4}


async def test_a_version_with_its_keys_is_used_by_a_gateway_that_only_hears_its_peers():
    async with workspace_rig() as env:
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        await publish(env, 2, TENANTS, ALL_ROUTES)
        assert (await send(env, vm="vm-2")).status == 200
        check_named(env)
