"""Serving HTTP from within a process that handles its own signals."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

import uvicorn

__all__ = ["serve_http"]

KEEP_ALIVE_SECONDS = 75
"""How long an idle connection is kept; clients give theirs up earlier."""

SHUTDOWN_SECONDS = 1


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Tell when connections are taken."""
        await super().startup(sockets=sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to the program."""
        yield


@contextlib.asynccontextmanager
async def serve_http(app: Any, address: str) -> AsyncIterator[str]:
    """Serve an ASGI application at ``host:port`` while the block runs.

    The address is yielded with the port that was taken, which matters where ``port`` is 0.
    ``OSError`` is raised when the address cannot be listened at.
    """
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        loop="asyncio",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=SHUTDOWN_SECONDS,
    )
    listener = _listen(host, int(port))
    server = _Server(config)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    try:
        await server.ready.wait()
        yield f"{host}:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        await task
        listener.close()


def _listen(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it; asyncio sets it only on sockets that name their protocol.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host.strip("[]"), port))
    except OSError:
        listener.close()
        raise
    return listener
