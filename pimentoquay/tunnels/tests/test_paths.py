"""Ways to engines, whose attempts to connect may be cancelled at any moment."""

import asyncio

import pytest

from pimentoquay.kernel import TimerService
from pimentoquay.tunnels import EnginePaths, TunnelTarget
from pimentoquay.tunnels.paths import HEDGE_SECONDS


class NoPeers:
    has_peers = False


class OpenedTransport:
    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True


async def test_a_connection_that_opens_as_its_caller_leaves_is_closed():
    """It stayed open and unused, and took one of the engine's places."""
    transport = OpenedTransport()
    target = TunnelTarget("engine", 1, "127.0.0.1:1")

    async def connect(factory, host, port):
        await asyncio.sleep(2 * HEDGE_SECONDS)
        asyncio.get_running_loop().call_soon(opening.cancel)
        return transport, factory()

    paths = EnginePaths(TimerService(), connect, NoPeers(), lambda: {"engine": target})
    opening = asyncio.ensure_future(paths.connector(target)(object, "", 0))
    with pytest.raises(asyncio.CancelledError):
        await opening
    await asyncio.sleep(0.01)
    assert transport.is_aborted
    paths.close()
