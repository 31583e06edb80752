"""Helpers to serve stand-ins on free ports of the loopback interface."""

import contextlib
import socket

from pimentoquay.kernel.serving import serve_http


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@contextlib.asynccontextmanager
async def served(app):
    async with serve_http(app, "127.0.0.1:0") as address:
        yield address
