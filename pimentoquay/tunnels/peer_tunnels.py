"""Connections to engines through peers: whom to ask, and what the replies show."""

import asyncio
from collections.abc import Callable, Collection, Coroutine, Mapping
from typing import Any

from pimentoquay.kernel import PimentoquayError, TimerService
from pimentoquay.kernel.background import BackgroundTasks
from pimentoquay.messages.tunnels import TunnelOutcome
from pimentoquay.policy.engine_paths import Reach
from pimentoquay.policy.tunnel_peers import PeerPlace, TunnelPeers
from pimentoquay.tunnels.client import TunnelOpener, TunnelRefusedError, TunnelTarget

__all__ = ["PeerTunnels", "Places", "discard", "first_connected", "has_connected"]

STAGGER_SECONDS = 0.03
"""Time after which another peer is asked beside those that have not replied."""

MAX_PEERS = 6
"""Maximum number of peers that are asked for one connection."""

Places = Callable[[], Mapping[str, PeerPlace]]

_REACH_BY_OUTCOME = {
    TunnelOutcome.OPEN: Reach.OPEN,
    TunnelOutcome.REFUSED: Reach.REFUSED,
    TunnelOutcome.SILENT: Reach.SILENT,
}


class PeerTunnels:
    """Opens tunnels through those peers that reach an engine, as far as this gateway knows.

    ``opened`` counts the tunnels since the start.

    Parameters
    ----------
    timers
        The process's timers.
    opener, peers
        Opens tunnels, and the choice of the peers for them.
    places
        Returns the peers that may be asked.
    """

    def __init__(
        self, timers: TimerService, opener: TunnelOpener, peers: TunnelPeers, places: Places
    ) -> None:
        self._timers = timers
        self._opener = opener
        self._peers = peers
        self._places = places
        self._background = BackgroundTasks()
        self.opened = 0

    @property
    def has_peers(self) -> bool:
        """Whether there is a peer that may be asked."""
        return bool(self._places())

    def referrals(self, engine: str) -> tuple[str, ...]:
        """Return peers through which this gateway reaches an engine."""
        return self._peers.referrals(engine, self._timers.now())

    def expire(self) -> None:
        """Drop old results."""
        self._peers.expire(self._timers.now())

    async def is_reached(self, target: TunnelTarget) -> bool:
        """Return whether one of the peers reaches an engine."""

        async def ask(peer: str) -> None:
            if await self.reach_through(peer, target) is not Reach.OPEN:
                raise ConnectionResetError(f"{peer} does not reach {target.engine}")

        try:
            await self._ask_in_turn(target, ask)
        except ConnectionError:
            return False
        return True

    async def open(self, target: TunnelTarget, factory: Callable[[], Any]) -> tuple[Any, Any]:
        """Open a connection to an engine through the first peer that reaches it.

        Raises
        ------
        ConnectionError
            If none of those asked does.
        """

        async def open_through(peer: str) -> tuple[Any, Any]:
            opened = await self._ask(peer, target, factory)
            opened[1].via = peer
            return opened

        return await self._ask_in_turn(target, open_through)

    async def _ask_in_turn(
        self, target: TunnelTarget, ask: Callable[[str], Coroutine[Any, Any, Any]]
    ) -> Any:
        """Ask peers one after the other until one succeeds; raise ``ConnectionError`` if none does.

        A peer that has not replied in a short time is not waited for before the next is asked.
        """
        asked: set[str] = set()
        pending: set[asyncio.Task[Any]] = set()
        try:
            while True:
                peer = self._next_peer(target, asked, self._places())
                if peer is not None:
                    asked.add(peer)
                    pending.add(self._background.start(ask(peer)))
                elif not pending:
                    raise ConnectionResetError(f"{len(asked)} peers do not reach {target.engine}")
                done, pending = await asyncio.wait(
                    pending,
                    timeout=STAGGER_SECONDS if peer is not None else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if has_connected(task):
                        pending |= done - {task}
                        return task.result()
        finally:
            for task in pending:
                discard(task)

    def _next_peer(
        self, target: TunnelTarget, asked: Collection[str], places: Mapping[str, PeerPlace]
    ) -> str | None:
        if len(asked) >= MAX_PEERS:
            return None
        now = self._timers.now()
        return self._peers.choose(target.engine, target.data_centre, places, now, asked)

    async def _ask(
        self,
        peer: str,
        target: TunnelTarget,
        factory: Callable[[], Any] = lambda: None,
        is_check: bool = False,
    ) -> tuple[Any, Any]:
        place = self._places().get(peer)
        if place is None:
            raise ConnectionResetError(f"{peer} is gone")
        try:
            opened = await self._opener.open(factory, place.address, target, is_check)
        except TunnelRefusedError as error:
            self._record_reply(peer, target, error)
            raise
        except (OSError, TimeoutError, PimentoquayError):
            self._peers.record_failure(peer, None, self._timers.now())
            raise
        self._peers.record_opened(peer, target.engine, self._timers.now())
        self.opened += 1
        return opened

    def _record_reply(self, peer: str, target: TunnelTarget, error: TunnelRefusedError) -> None:
        now, reply = self._timers.now(), error.reply
        if reply.outcome is TunnelOutcome.OPEN:
            return
        is_general = reply.outcome in (TunnelOutcome.BUSY, TunnelOutcome.DRAINING)
        self._peers.record_failure(peer, None if is_general else target.engine, now)
        self._peers.learn(reply.peers, now)

    async def reach_from_all(self, target: TunnelTarget) -> list[Reach]:
        """Ask several peers that were heard lately at once whether they reach an engine."""
        heard = {vm: place for vm, place in self._places().items() if place.is_heard}
        chosen: list[str] = []
        while (peer := self._next_peer(target, chosen, heard)) is not None:
            chosen.append(peer)
        asked = (self.reach_through(peer, target) for peer in chosen)
        return list(await asyncio.gather(*asked))

    async def reach_through(self, peer: str, target: TunnelTarget) -> Reach:
        """Ask a peer whether it reaches an engine."""
        try:
            await self._ask(peer, target, is_check=True)
        except TunnelRefusedError as error:
            if error.reply.outcome is TunnelOutcome.OPEN:
                self._peers.record_opened(peer, target.engine, self._timers.now())
            return _REACH_BY_OUTCOME.get(error.reply.outcome, Reach.UNKNOWN)
        except (OSError, TimeoutError, PimentoquayError):
            return Reach.UNKNOWN
        return Reach.UNKNOWN


def has_connected(task: asyncio.Task[Any]) -> bool:
    """Return whether an attempt to connect has succeeded."""
    return task.done() and not task.cancelled() and task.exception() is None


async def first_connected(tasks: set[asyncio.Task[Any]]) -> None:
    """Wait until one of the tasks has succeeded or all have failed."""
    pending = tasks
    while pending and not any(has_connected(task) for task in tasks):
        _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)


def discard(task: asyncio.Task[Any] | None) -> None:
    """Cancel an attempt to connect, or close the connection that it has opened."""
    if task is None or task.cancel():
        return
    if has_connected(task) and task.result() is not None:
        task.result()[0].abort()
