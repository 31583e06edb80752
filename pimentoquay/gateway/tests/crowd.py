"""Many connections at once to a gateway process, and what the process holds meanwhile."""

import asyncio
import contextlib
import fcntl
import os
import tempfile
import time
from pathlib import Path

from pimentoquay.gateway.tests.process_rig import ProcessRig
from pimentoquay.gateway.tests.rig import model_headers

CROWD = 40
HOLD_SECONDS = 5.0
RELEASE_SECONDS = 5.0
ANSWER_SECONDS = 20.0
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
MB = 1024 * 1024


@contextlib.contextmanager
def only_process_test():
    """Wait until no other test of this kind runs on the machine."""
    with (Path(tempfile.gettempdir()) / "pimentoquay-crowds.lock").open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextlib.asynccontextmanager
async def limited_gateway(folder, memory_mb, descriptors):
    """Yield a gateway process whose settings state these limits."""
    with only_process_test():
        rig = ProcessRig(folder)
        rig.limits = {**rig.limits, "memoryMb": memory_mb, "maxFds": descriptors}
        try:
            await rig.start(1, 5)
            yield rig.gateways[0]
        finally:
            await rig.close()


def memory_mb(gateway, field="VmRSS"):
    """Return a size of the process in MB: ``VmRSS`` what it holds, ``VmHWM`` its peak."""
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith(field + ":"))
    return int(line.split()[1]) / 1024


def open_descriptors(gateway):
    return len(os.listdir(f"/proc/{gateway.process.pid}/fd"))


def head(path, framing, is_stream=False):
    headers = (
        (b"Host", b"shop.example"),
        (b"Pimentoquay-Request-Id", b"crowd"),
        (b"Pimentoquay-Deadline-Ms", b"14000"),
        framing,
        *(model_headers() if is_stream else ()),
    )
    lines = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
    return b"POST " + path + b" HTTP/1.1\r\n" + lines + b"\r\n"


async def hold(gateway, parts, pause=0.0, seconds=HOLD_SECONDS):
    """Send parts, keep the connection until the time is over, and return what was answered."""
    answer = b""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
        try:
            async with asyncio.timeout(seconds):
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(pause)
                while data := await reader.read(65536):
                    answer += data
                await asyncio.sleep(seconds)
        finally:
            writer.transport.abort()
    return answer


async def ordinary_request(gateway, body=b"x" * 1000):
    """Send a call until one is answered with 200, and return the last status."""
    status, ends_at = b"", time.monotonic() + ANSWER_SECONDS
    request = head(b"/look/a", (b"Content-Length", str(len(body)).encode())) + body
    while status != b"200" and time.monotonic() < ends_at:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(ANSWER_SECONDS):
                reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
                try:
                    writer.write(request)
                    status = (await reader.readuntil(b"\r\n")).split()[1]
                finally:
                    writer.transport.abort()
        await asyncio.sleep(0.1)
    return int(status or 0)
