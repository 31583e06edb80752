"""Accept tunnels from other gateways and forward their bytes to engines."""

import asyncio
import contextlib
import socket
from typing import Any

from pimentoquay.http1 import Connect, SharedBufferProtocol
from pimentoquay.http1.system_state import unsent_bytes
from pimentoquay.kernel import Identity, PimentoquayError, ResultCode
from pimentoquay.kernel.background import BackgroundTasks
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.timeouts import attempt_timeout
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.connection import Hello, Rejected
from pimentoquay.messages.tunnels import TunnelOutcome, TunnelReply, TunnelRequest
from pimentoquay.transport import handshake
from pimentoquay.transport.websocket import split_address
from pimentoquay.tunnels.framing import END, GOING_AWAY, FrameReader, frame
from pimentoquay.tunnels.limits import TunnelLimits, TunnelPolicy

__all__ = ["TunnelServer"]

MAX_TUNNELS = 400
"""Maximum number of tunnels at a time; each needs two of some four thousand descriptors."""

MAX_UNOPENED = 200
"""Maximum number of connections that have not asked for a tunnel; above it, those are closed that
have had ``ASK_SECONDS`` to ask."""

MAX_BURST = 400
"""The same with those that have not had that time; another one is refused."""

MAX_UNSENT_BYTES = 32 * 1024
"""Number of unsent bytes of one direction of a tunnel at which its other end is not read."""

ASK_SECONDS = 0.25
"""Time in which a sound peer asks for a tunnel, which takes milliseconds unless it is busy."""

HANDSHAKE_SECONDS = 1.0
"""Timeout of the messages that open a tunnel."""

CONNECT_SECONDS = 0.15
"""Timeout of connecting to the engine."""

MAX_EARLY_BYTES = 64 * 1024
"""Maximum size of bytes for an engine that is not connected yet; peers wait for the reply."""

USER_TIMEOUT_MILLISECONDS = 2000
"""Time in ms after which the system resets a connection to an engine that does not respond."""

PEER_USER_TIMEOUT_MILLISECONDS = 15_000
"""The same for a peer; as long as a caller may be idle, since the system also resets a connection
whose other end responds but does not read, and a peer reads no faster than its caller."""


class TunnelServer:
    """Accepts tunnels and connects them to engines.

    ``opened`` counts the tunnels since the start, ``refused`` the requests that were not granted.

    Parameters
    ----------
    identity, key
        Identity of this gateway, and the key that all gateways of the deployment share.
    connect
        Opens connections to engines.
    policy
        Decides about requests.
    limits
        Limits below those of this module, for processes with few descriptors.
    """

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        connect: Connect,
        policy: TunnelPolicy,
        limits: TunnelLimits = TunnelLimits(),  # noqa: B008
    ) -> None:
        self.identity = identity
        self.key = key
        self._connect = connect
        self._policy = policy
        self.limits = limits
        self._server: asyncio.Server | None = None
        self._sides: dict[_PeerSide, None] = {}
        self._background = BackgroundTasks()
        self._is_draining = False
        self.opened = 0
        self.refused = 0

    @property
    def active(self) -> int:
        """Number of tunnels to engines that are open."""
        return sum(side.is_open for side in self._sides)

    async def listen(self, host: str, port: int) -> str:
        """Accept tunnels; return the address, whose port the system chooses if it is zero."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _PeerSide(self), host, port)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def drain(self) -> None:
        """Open no more tunnels, and let the peers send no other request on those that are open."""
        self._is_draining = True
        for side in self._sides:
            side.announce_end()

    async def close(self) -> None:
        """Stop listening and end all tunnels."""
        if self._server is not None:
            self._server.close()
        self._background.cancel()
        for side in tuple(self._sides):
            side.abort()

    def add(self, side: "_PeerSide") -> None:
        """Add an accepted connection."""
        self._sides[side] = None
        self._close_unopened()
        if sum(not each.has_asked for each in self._sides) > min(MAX_BURST, self.limits.burst):
            self.remove(side)
            side.abort()
        else:
            asyncio.get_running_loop().call_later(ASK_SECONDS, self._close_unopened)

    def _close_unopened(self) -> None:
        """Close the oldest connections that have not asked in time, if there are too many."""
        asked_by = asyncio.get_running_loop().time() - ASK_SECONDS
        most = min(MAX_UNOPENED, self.limits.unopened)
        unopened = [each for each in self._sides if not each.has_asked]
        for side in unopened[: max(0, len(unopened) - most)]:
            if side.accepted_at <= asked_by:
                self.remove(side)
                side.abort()

    def remove(self, side: "_PeerSide") -> None:
        """Remove a connection that has ended."""
        self._sides.pop(side, None)

    def start_connecting(self, side: "_PeerSide", request: TunnelRequest) -> asyncio.Task[None]:
        """Connect to the engine of a request in the background, and reply to it."""
        return self._background.start(self._serve(side, request))

    async def _serve(self, side: "_PeerSide", request: TunnelRequest) -> None:
        outcome, engine = await self._connect_engine(side, request)
        if outcome is TunnelOutcome.OPEN:
            self.opened += not request.is_check
        else:
            self.refused += 1
        peers = self._policy.referrals(request) if outcome is TunnelOutcome.CUT_OFF else ()
        if not request.is_check:
            logger.bind(engine=request.engine, peer=side.peer, outcome=outcome.name.lower()).info(
                "tunnel asked for"
            )
        side.reply(TunnelReply(outcome, peers), None if request.is_check else engine)
        if engine is not None and request.is_check:
            engine.abort()

    async def _connect_engine(
        self, side: "_PeerSide", request: TunnelRequest
    ) -> tuple[TunnelOutcome, "_EngineSide | None"]:
        if self._is_draining:
            return TunnelOutcome.DRAINING, None
        if sum(each.has_asked for each in self._sides) > min(MAX_TUNNELS, self.limits.tunnels):
            return TunnelOutcome.BUSY, None
        outcome = self._policy.find_outcome(request)
        if outcome is not TunnelOutcome.OPEN:
            return outcome, None
        host, port = split_address(request.address)
        try:
            async with attempt_timeout(CONNECT_SECONDS):
                _, engine = await self._connect(lambda: _EngineSide(side), host, port)
        except ConnectionRefusedError:
            if not request.is_check:
                return TunnelOutcome.REFUSED, None
            return await self._policy.refusal_outcome(request), None
        except (OSError, TimeoutError):
            self._policy.on_silent(request)
            return TunnelOutcome.SILENT, None
        if self._is_draining:
            # The tunnels that were open have been told; this one would be used until it is cut.
            engine.abort()
            return TunnelOutcome.DRAINING, None
        return TunnelOutcome.OPEN, engine


class _PeerSide(SharedBufferProtocol):
    """The connection of the peer that uses a tunnel."""

    def __init__(self, server: TunnelServer) -> None:
        self._server = server
        self._reader = FrameReader()
        self._challenge = handshake.make_challenge()
        self._hello: Hello | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._engine: _EngineSide | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._early = b""
        self._transport: Any = None
        self.accepted_at = 0.0
        self.peer = ""

    @property
    def is_open(self) -> bool:
        """Whether the tunnel is connected to an engine."""
        return self._engine is not None

    @property
    def has_asked(self) -> bool:
        """Whether the peer has authenticated itself and asked for a tunnel."""
        return self._connecting is not None or self._engine is not None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PEER_USER_TIMEOUT_MILLISECONDS)
        loop = asyncio.get_running_loop()
        self.accepted_at = loop.time()
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._server.add(self)
        self._timer = loop.call_later(HANDSHAKE_SECONDS, self.abort)
        transport.write(frame(encode(self._challenge)))

    def data_received(self, data: bytes) -> None:
        if self._engine is not None:
            self._engine.write(data)
        elif self._connecting is not None:
            self._early += data
            if len(self._early) > MAX_EARLY_BYTES:
                self.abort()
        else:
            try:
                self._open(data)
            except PimentoquayError as error:
                logger.bind(error=str(error)).warning("invalid request for a tunnel")
                self._transport.write(frame(encode(Rejected(error.code, error.detail))))
                self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove(self)
        self._cancel_timer()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._engine is not None:
            self._engine.abort()

    def pause_writing(self) -> None:
        if self._engine is not None:
            self._engine.set_reading(False)

    def resume_writing(self) -> None:
        if self._engine is not None:
            self._engine.set_reading(True)

    def set_reading(self, is_on: bool) -> None:
        """Read from the peer, or not while the engine does not read."""
        with contextlib.suppress(RuntimeError):
            (self._transport.resume_reading if is_on else self._transport.pause_reading)()

    def abort(self) -> None:
        """End the tunnel at once."""
        self._transport.abort()

    def announce_end(self) -> None:
        """Tell the peer to send no other request on this tunnel."""
        if self._engine is not None:
            self._transport.write(GOING_AWAY)

    def reply(self, reply: TunnelReply, engine: "_EngineSide | None") -> None:
        """Reply to the request; from then on, bytes are forwarded if an engine is connected."""
        self._cancel_timer()
        if self._transport.is_closing():
            if engine is not None:
                engine.abort()
            return
        self._connecting = None
        assert self._hello is not None
        welcome = handshake.make_welcome(
            self._server.identity, self._server.key, self._challenge, self._hello
        )
        self._transport.write(frame(encode(welcome)) + frame(encode(reply)))
        if engine is None:
            self._transport.close()
            return
        self._engine = engine
        engine.begin()
        early, self._early = self._early, b""
        if early:
            engine.write(early)

    def forward(self, data: bytes) -> None:
        """Send bytes of the engine to the peer."""
        self._transport.write(frame(data))

    def end(self, is_orderly: bool, is_cut: bool) -> None:
        """End the tunnel, as the engine has ended its connection.

        An end that cut off what was being sent does not mark the end of a response: the peer gets
        the bytes before it, and then the end of the tunnel alone.
        """
        if not is_orderly:
            self._transport.abort()
            return
        if not is_cut:
            self._transport.write(END)
        self._transport.close()

    def _open(self, data: bytes) -> None:
        message = self._reader.read_message(data)
        while message is not None:
            self._receive(decode(message))
            if self._connecting is not None:
                self._early = self._reader.take_rest()
                return
            message = self._reader.read_message(b"")

    def _receive(self, message: Any) -> None:
        if isinstance(message, Hello) and self._hello is None:
            self.peer = handshake.check_hello(message, self._server.key, self._challenge).vm
            self._hello = message
        elif isinstance(message, TunnelRequest) and self._hello is not None:
            self._connecting = self._server.start_connecting(self, message)
        else:
            raise CodecError(ResultCode.FRAME_MALFORMED, f"unexpected {type(message).__name__}")

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class _EngineSide(SharedBufferProtocol):
    """The connection to the engine of a tunnel."""

    def __init__(self, peer: _PeerSide) -> None:
        self._peer = peer
        self._transport: Any = None
        self._has_begun = False
        self._before: list[bytes] = []
        self._ended: bool | None = None
        self._is_cut = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)

    def begin(self) -> None:
        """Forward to the peer from now on, and what came before."""
        self._has_begun = True
        self.set_reading(True)
        before, self._before = self._before, []
        for data in before:
            self._peer.forward(data)
        if self._ended is not None:
            self._peer.end(self._ended, self._is_cut)

    def data_received(self, data: bytes) -> None:
        if self._has_begun:
            self._peer.forward(data)
        else:
            self._before.append(data)
            self.set_reading(False)

    def eof_received(self) -> bool:
        self._is_cut = unsent_bytes(self._transport) > 0
        self._end(True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(False)

    def pause_writing(self) -> None:
        self._peer.set_reading(False)

    def resume_writing(self) -> None:
        self._peer.set_reading(True)

    def write(self, data: bytes) -> None:
        """Send bytes of the peer to the engine."""
        self._transport.write(data)

    def set_reading(self, is_on: bool) -> None:
        """Read from the engine, or not while the peer does not read."""
        with contextlib.suppress(RuntimeError):
            (self._transport.resume_reading if is_on else self._transport.pause_reading)()

    def abort(self) -> None:
        """Close the connection at once, so that the engine ends the request."""
        self._transport.abort()

    def _end(self, is_orderly: bool) -> None:
        if self._ended is None:
            self._ended = is_orderly
            if self._has_begun:
                self._peer.end(is_orderly, self._is_cut)
