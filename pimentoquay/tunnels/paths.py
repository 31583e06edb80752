"""Choice of the way of each connection to an engine: of this gateway's own, or through a peer.

A connection that is not established at once is also opened through a peer, and the first of both is
used. If only the peer's works, the path of this gateway is cut: its connections go through peers
until its own have worked again for a time.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from pimentoquay.http1 import Connect
from pimentoquay.kernel import TimerService
from pimentoquay.kernel.background import BackgroundTasks
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.timeouts import attempt_timeout
from pimentoquay.messages.tunnels import TunnelOutcome, TunnelRequest
from pimentoquay.policy.engine_paths import PathLimits, PathTable, Reach, Verdict, judge
from pimentoquay.transport.websocket import split_address
from pimentoquay.tunnels.client import TunnelTarget
from pimentoquay.tunnels.peer_tunnels import (
    PeerTunnels,
    discard,
    first_connected,
    has_connected,
)

__all__ = ["EnginePaths", "Targets"]

HEDGE_SECONDS = 0.06
"""Time after which a connection that is not established is also opened through a peer; a new
connection takes some milliseconds."""

CONNECT_SECONDS = 0.25
"""Timeout of this gateway's own connections to engines."""

PROBE_SECONDS = 0.1
"""Timeout of an attempt that only shows whether an engine is reached."""

PROBE_TICK_SECONDS = 0.25
"""Interval at which due probes of cut paths are begun."""

PROBES_PER_TICK = 8
"""Maximum number of cut paths that are probed at a time."""

OTHERS_TRIED = 4
"""Number of other engines that are tried when one does not respond. Each of them that does not
either leads to as many, so that a broad cut is known soon and a single failure costs little."""

SURVEYED_ENGINES = 32
"""Maximum number of other engines that are tried at once when one path is found to be cut."""

SUSPICION_SECONDS = 0.25
"""Shortest time between two attempts to find out whether a silent engine is reached. It doubles
while the engine is reached, up to eight times."""

MAX_SUSPICION_DOUBLINGS = 3
"""Maximum number of these doublings."""

LOST_WAY_SECONDS = 5.0
"""Time for which open connections through a peer count as lost after it has failed."""

EXPIRY_SECONDS = 5.0
"""Interval at which old results are dropped."""

Targets = Callable[[], Mapping[str, TunnelTarget]]


class EnginePaths:
    """Opens connections to engines, directly or through peers, and knows which paths are cut.

    The callbacks in ``on_cut`` are called with the id of an engine when its path is found to be
    cut, those in ``on_returned`` when it is used again. ``opened`` counts the connections of its
    own.

    Parameters
    ----------
    timers
        The process's timers.
    connect
        Opens this gateway's own connections.
    tunnels
        Opens connections through peers.
    targets
        Returns all listed engines, by id.
    """

    def __init__(
        self,
        timers: TimerService,
        connect: Connect,
        tunnels: PeerTunnels,
        targets: Targets,
    ) -> None:
        self._timers = timers
        self._connect = connect
        self._tunnels = tunnels
        self._targets = targets
        self._table = PathTable(PathLimits())
        self._background = BackgroundTasks()
        self._probing: set[str] = set()
        self._suspicion_by_way: dict[tuple[str, str], tuple[float, int]] = {}
        self._lost_at_by_way: dict[tuple[str, str], float] = {}
        self.on_cut: list[Callable[[str], None]] = []
        self.on_returned: list[Callable[[str], None]] = []
        self.opened = 0

    @property
    def cut_engines(self) -> int:
        """Number of engines to which the path of this gateway is cut."""
        return len(self._table.cut_engines)

    def start(self) -> None:
        """Begin to probe cut paths."""
        self._timers.every(PROBE_TICK_SECONDS, self._probe_cut_paths)
        self._timers.every(EXPIRY_SECONDS, self._expire)

    def close(self) -> None:
        """Cancel what runs in the background."""
        self._background.cancel()

    def is_cut(self, engine: str) -> bool:
        """Return whether the path to an engine is cut."""
        return self._table.is_cut(engine)

    def connector(self, target: TunnelTarget) -> Connect:
        """Return a function that opens connections to an engine by the way that works."""

        async def connect(factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
            return await self._connect_any(target, factory)

        return connect

    def direct_connector(self, target: TunnelTarget) -> Connect:
        """Return a function that opens connections of this gateway's own only."""

        async def connect(factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
            return await self._connect_direct(target, factory)

        return connect

    def is_lost(self, target: TunnelTarget, via: str) -> bool:
        """Return whether an engine is out of reach by the way of an open connection."""
        if not via:
            return self._table.has_no_way(target.engine)
        lost_at = self._lost_at_by_way.get((target.engine, via), float("-inf"))
        return self._timers.now() - lost_at < LOST_WAY_SECONDS

    def suspect(self, target: TunnelTarget, via: str = "") -> None:
        """Find out in the background whether a silent engine is still reached, if that is due.

        Parameters
        ----------
        target
            The engine.
        via
            Peer through which the silent connection was opened, or empty.
        """
        now = self._timers.now()
        way = target.engine, via
        due_at, doublings = self._suspicion_by_way.get(way, (now, 0))
        if now < due_at or self.is_lost(target, via):
            return
        self._suspicion_by_way[way] = (
            now + SUSPICION_SECONDS * 2**doublings,
            min(MAX_SUSPICION_DOUBLINGS, doublings + 1),
        )
        self._background.start(self._probe_peer(target, via) if via else self._probe(target))

    async def check(self, target: TunnelTarget, direct: Reach) -> Verdict:
        """Return whether an engine that lost a connection has ended, by what peers see as well.

        Parameters
        ----------
        target
            The engine.
        direct
            Result of this gateway's own attempt; unknown if its path is cut.
        """
        if direct in (Reach.OPEN, Reach.SILENT):
            return judge(direct, ())
        peers, other = await asyncio.gather(
            self._tunnels.reach_from_all(target), self._reach_other(target)
        )
        verdict = judge(direct, peers, other)
        if verdict is Verdict.CUT:
            await self._confirm_cut(target)
        return verdict

    async def refusal_outcome(self, request: TunnelRequest) -> TunnelOutcome:
        """Return what it means for a peer that an engine has refused this gateway's connection."""
        target = TunnelTarget(request.engine, request.incarnation, request.address)
        is_in_touch = await self._reach_other(target) is Reach.OPEN
        return TunnelOutcome.REFUSED if is_in_touch else TunnelOutcome.CUT_OFF

    def find_outcome(self, request: TunnelRequest) -> TunnelOutcome:
        """Return why no tunnel to an engine is opened for a peer, or ``OPEN`` to try."""
        target = self._listed(request)
        if target is None:
            return TunnelOutcome.NOT_LISTED
        is_cut_off = self._table.has_no_way(target.engine)
        return TunnelOutcome.CUT_OFF if is_cut_off else TunnelOutcome.OPEN

    def referrals(self, request: TunnelRequest) -> tuple[str, ...]:
        """Return peers through which this gateway reaches an engine."""
        return self._tunnels.referrals(request.engine)

    def record_silent(self, request: TunnelRequest) -> None:
        """Record that an engine did not respond when a peer asked for a tunnel to it."""
        target = self._listed(request)
        if target is not None:
            self.suspect(target)

    def _listed(self, request: TunnelRequest) -> TunnelTarget | None:
        target = self._targets().get(request.engine)
        asked = request.incarnation, request.address
        is_listed = target is not None and (target.incarnation, target.address) == asked
        return target if is_listed else None

    async def _connect_any(
        self, target: TunnelTarget, factory: Callable[[], Any]
    ) -> tuple[Any, Any]:
        if self._table.is_cut(target.engine):
            return await self._connect_cut(target, factory)
        direct = self._background.start(self._connect_direct(target, factory))
        tunnel: asyncio.Task[Any] | None = None
        try:
            await asyncio.wait({direct}, timeout=HEDGE_SECONDS)
            if not has_connected(direct) and self._tunnels.has_peers:
                tunnel = self._background.start(self._tunnels.open(target, factory))
                await first_connected({direct, tunnel})
            else:
                await asyncio.wait({direct})
        except asyncio.CancelledError:
            discard(direct)
            discard(tunnel)
            raise
        if tunnel is None or has_connected(direct):
            discard(tunnel)
            return await direct
        if not has_connected(tunnel):
            return await direct
        self._background.start(self._settle(target, direct))
        return tunnel.result()

    async def _connect_cut(
        self, target: TunnelTarget, factory: Callable[[], Any]
    ) -> tuple[Any, Any]:
        """Open a connection through a peer, or else of its own if its path works by now."""
        try:
            return await self._tunnels.open(target, factory)
        except ConnectionError:
            if self._table.has_no_way(target.engine):
                raise
        return await self._connect_direct(target, factory)

    async def _settle(self, target: TunnelTarget, direct: asyncio.Task[Any]) -> None:
        """Record a cut if the own connection fails while one through a peer was opened."""
        await asyncio.wait({direct})
        if has_connected(direct):
            discard(direct)
        elif not direct.cancelled():
            await self._confirm_cut(target)

    async def _connect_direct(
        self, target: TunnelTarget, factory: Callable[[], Any]
    ) -> tuple[Any, Any]:
        async with attempt_timeout(CONNECT_SECONDS):
            opened = await self._connect(factory, *split_address(target.address))
        self.opened += 1
        return opened

    async def _reach(self, target: TunnelTarget) -> Reach:
        """Return whether this gateway itself can connect to an engine."""
        try:
            async with attempt_timeout(PROBE_SECONDS):
                transport, _ = await self._connect(asyncio.Protocol, *split_address(target.address))
        except ConnectionRefusedError:
            return Reach.REFUSED
        except (OSError, TimeoutError):
            return Reach.SILENT
        transport.abort()
        return Reach.OPEN

    async def _reach_other(self, target: TunnelTarget) -> Reach:
        """Return whether this gateway can connect to another engine, of another service if any."""
        listed = self._targets()
        others = [each for engine, each in listed.items() if engine != target.engine]
        service = listed[target.engine].service if target.engine in listed else ""
        others = [each for each in others if each.service != service] or others
        if not others:
            return Reach.UNKNOWN
        return await self._reach(random.choice(others))

    async def _probe(self, target: TunnelTarget) -> None:
        """Find out whether the path to an engine is cut."""
        if target.engine in self._probing or self._table.is_cut(target.engine):
            return
        self._probing.add(target.engine)
        try:
            if await self._reach(target) is Reach.OPEN:
                return
            self._try_others(OTHERS_TRIED)
            if await self._tunnels.is_reached(target):
                await self._confirm_cut(target)
        finally:
            self._probing.discard(target.engine)

    async def _probe_peer(self, target: TunnelTarget, peer: str) -> None:
        """Find out whether a peer has lost an engine that others reach, or is lost itself."""
        if await self._tunnels.reach_through(peer, target) is Reach.OPEN:
            return
        if await self._tunnels.is_reached(target):
            self._lost_at_by_way[target.engine, peer] = self._timers.now()
            logger.bind(engine=target.engine, peer=peer).warning("peer has lost an engine")

    async def _confirm_cut(self, target: TunnelTarget) -> None:
        """Record a cut, unless the own path works by now.

        After a silence that all gateways shared, a peer may be answered first.
        """
        if not self._table.is_cut(target.engine) and await self._reach(target) is not Reach.OPEN:
            self._record_cut(target)

    def _record_cut(self, target: TunnelTarget) -> None:
        if not self._table.record_cut(target.engine, self._timers.now()):
            return
        self._suspicion_by_way.pop((target.engine, ""), None)
        logger.bind(
            engine=target.engine,
            engines_cut=self.cut_engines,
        ).warning("path to engine is cut; using peers")
        for callback in self.on_cut:
            callback(target.engine)
        if self.cut_engines == 1:
            self._try_others(SURVEYED_ENGINES)

    def _try_others(self, most: int) -> None:
        """Try other engines too, since most cuts concern several."""
        targets = [
            each
            for engine, each in self._targets().items()
            if not self._table.is_cut(engine) and engine not in self._probing
        ]
        for target in random.sample(targets, min(most, len(targets))):
            self.suspect(target)

    def _probe_cut_paths(self) -> None:
        targets = self._targets()
        self._table.forget_others(targets)
        for engine in self._table.due_probes(self._timers.now(), PROBES_PER_TICK):
            self._background.start(self._probe_cut(targets[engine]))

    async def _probe_cut(self, target: TunnelTarget) -> None:
        has_worked = await self._reach(target) is Reach.OPEN
        if self._table.record_probe(target.engine, has_worked, self._timers.now()):
            logger.bind(engine=target.engine, engines_cut=self.cut_engines).info(
                "path to engine works again"
            )
            for callback in self.on_returned:
                callback(target.engine)

    def _expire(self) -> None:
        now = self._timers.now()
        self._tunnels.expire()
        self._suspicion_by_way = {
            way: (due_at, doublings)
            for way, (due_at, doublings) in self._suspicion_by_way.items()
            if now - due_at < EXPIRY_SECONDS
        }
        self._lost_at_by_way = {
            way: at for way, at in self._lost_at_by_way.items() if now - at < LOST_WAY_SECONDS
        }
