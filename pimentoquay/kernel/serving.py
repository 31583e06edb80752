"""HTTP server inside a process that handles its signals itself."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

import uvicorn

__all__ = ["serve_http"]

KEEP_ALIVE_SECONDS = 75
"""Time in seconds after which an idle connection is closed; clients stop using theirs earlier."""

SHUTDOWN_SECONDS = 1
"""Time in seconds that requests in progress have to end when the server shuts down."""


class _Server(uvicorn.Server):
    """Server that sets ``ready`` once it accepts connections, and handles no signals."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start the server, then set ``ready``."""
        await super().startup(sockets=sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the program has its own."""
        yield


@contextlib.asynccontextmanager
async def serve_http(app: Any, address: str) -> AsyncIterator[str]:
    """Serve an ASGI application while the ``async with`` block runs.

    Parameters
    ----------
    app
        ASGI application.
    address
        ``host:port`` to listen on; port 0 selects a free port.

    Yields
    ------
    str
        Address with the actual port.

    Raises
    ------
    OSError
        If the server cannot listen on the address.
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
        # Accepted connections inherit TCP_NODELAY. asyncio sets it only on sockets that were
        # created with an explicit protocol number.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host.strip("[]"), port))
    except OSError:
        listener.close()
        raise
    return listener
