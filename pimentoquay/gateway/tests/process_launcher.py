"""Run a gateway whose connections start at an address of its own and lead through link proxies.

``LINK_SOURCE`` in the environment is the address, ``LINK_NETS`` the prefix of all machines'
addresses and, after a blank, the prefix of the proxies'. A proxy writes one byte once it has
connected, so that a connection through it takes as long, or fails, as its link says.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import ctypes  # noqa: E402
import os  # noqa: E402
import runpy  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
from typing import Any  # noqa: E402

CONNECTED = b"\x01"
END_WITH_PARENT = 1
"""Value of ``PR_SET_PDEATHSIG``, which names the signal that follows the end of the parent."""

_connect_directly = asyncio.base_events.BaseEventLoop.create_connection


async def _connect(self, factory, host=None, port=None, **options):
    machines, proxies = os.environ["LINK_NETS"].split()
    if host is None or not host.startswith(machines):
        return await _connect_directly(self, factory, host, port, **options)
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.bind((os.environ["LINK_SOURCE"], 0))
        await self.sock_connect(sock, (proxies + host.removeprefix(machines), port))
        if await self.sock_recv(sock, 1) != CONNECTED:
            raise ConnectionRefusedError(f"{host}:{port} refuses connections")
        return await _connect_directly(self, factory, sock=sock, **options)
    except BaseException:
        sock.close()
        raise


if __name__ == "__main__":
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(END_WITH_PARENT, signal.SIGKILL)
    event_loop: Any = asyncio.base_events.BaseEventLoop
    event_loop.create_connection = _connect
    runpy.run_module("pimentoquay.gateway", run_name="__main__", alter_sys=True)
