"""Requests that are being read as a planned stop ends, at a gateway in a process of its own."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from pimentoquay.gateway.tests.rig import rig
from pimentoquay.gateway.tests.test_late_in_stop import (
    LateCaller,
    end_process,
    let_runs_last,
    request_bytes,
    runs,
)

HEAD = b"GET /a HTTP/1.1\r\nHost: shop.example\r\nPimentoquay-Deadline-Ms: 14000\r\n"
PARTS = {
    "head": HEAD,
    "body": HEAD.replace(b"GET", b"POST") + b"Content-Length: 10\r\n\r\nabcde",
}


def connect(port):
    """Connect to a gateway, which listens soon after it has said that it started."""
    ends_at = time.monotonic() + 10
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=20)
        except ConnectionRefusedError:
            if time.monotonic() > ends_at:
                raise
            time.sleep(0.02)


@pytest.mark.parametrize("part", PARTS)
def test_a_request_that_is_being_read_as_the_stop_ends_is_refused(part, tmp_path):
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    path = tmp_path / "local.json"
    settings = {
        "nodeName": "vm-1",
        "zone": "hall",
        "ipAddr": "127.0.0.1",
        "listen": {"frontAddr": f"127.0.0.1:{port}", "readyAddr": "127.0.0.1:0"},
        "platform": {"address": "127.0.0.1:1"},
    }
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "pimentoquay.gateway"],
        env={**os.environ, "PIMENTOQUAY_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        lines = []
        for line in process.stdout or ():
            lines.append(line)
            if "started" in line:
                break
        with connect(port) as caller:
            timer = threading.Timer(2.5, caller.sendall, (PARTS[part],))
            timer.start()
            process.send_signal(signal.SIGTERM)
            received, how = b"", "end"
            try:
                while data := caller.recv(4096):
                    received += data
            except ConnectionError as error:
                how = repr(error)
        rest, _ = process.communicate(timeout=20)
        lines += rest.splitlines()
    finally:
        process.kill()
    shown = [json.loads(each) for each in lines]
    messages = [(each["time"][17:23], each["message"]) for each in shown]
    assert received.startswith(b"HTTP/1.1 "), (received, how, messages)


@pytest.mark.looptime(start=1000)
async def test_a_request_read_after_the_drain_is_not_passed_on_and_cut():
    """The connection with half a head counts as idle, and is read until the process ends."""
    async with rig() as env:
        let_runs_last(env, 1.0)
        gateway = env.gateway_by_vm["vm-1"]
        port = gateway.caller_server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        request = request_bytes("/look/a", "late", 3000)
        ending = asyncio.create_task(end_process(env))
        await asyncio.sleep(2.9)
        writer.write(request[:40])

        closes_tunnels = gateway.tunnel_server.close

        async def close():
            """Take some time, as the end of the process does: 30 to 50 ms were measured."""
            writer.write(request[40:])
            await asyncio.sleep(0.03)
            await closes_tunnels()

        gateway.tunnel_server.close = close
        async with asyncio.timeout(20):
            await ending
            status, _ = await LateCaller(reader, writer).finish()
        assert status or not runs(env, "late"), (status, len(runs(env, "late")))
