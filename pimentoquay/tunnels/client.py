"""Open tunnels to engines through other gateways."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentoquay.http1 import SharedBufferProtocol, connect_tcp
from pimentoquay.kernel import Identity, PimentoquayError, ResultCode
from pimentoquay.kernel.timeouts import attempt_timeout
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.connection import Challenge, Rejected, Welcome
from pimentoquay.messages.tunnels import TunnelOutcome, TunnelReply, TunnelRequest
from pimentoquay.transport import handshake
from pimentoquay.transport.websocket import split_address
from pimentoquay.tunnels.framing import FRAMES_PER_TURN, FrameReader, frame

__all__ = ["OPEN_SECONDS", "TunnelOpener", "TunnelRefusedError", "TunnelTarget"]

OPEN_SECONDS = 0.4
"""Timeout of opening a tunnel; the peer gives its own attempt to connect less than that."""


@dataclass(frozen=True)
class TunnelTarget:
    """The start of an engine to which a tunnel leads, with its place and service."""

    engine: str
    incarnation: int
    address: str
    data_centre: str = ""
    service: str = ""


class TunnelRefusedError(Exception):
    """A peer did not open a tunnel."""

    def __init__(self, reply: TunnelReply) -> None:
        super().__init__(reply.outcome.name)
        self.reply = reply


class TunnelOpener:
    """Opens tunnels for one gateway.

    Parameters
    ----------
    identity, key
        Identity of this gateway, and the key that all gateways of the deployment share.
    turns
        Continues with frames that one read left over; a queue of its own if omitted.
    """

    def __init__(self, identity: Identity, key: bytes, turns: TurnQueue | None = None) -> None:
        self._identity = identity
        self._key = key
        self._turns = turns if turns is not None else TurnQueue()

    async def open(
        self, factory: Callable[[], Any], address: str, target: TunnelTarget, is_check: bool = False
    ) -> tuple[Any, Any]:
        """Open a tunnel and connect it to a protocol; return its transport and the protocol.

        Parameters
        ----------
        factory
            Creates the protocol; it is called once the engine is connected.
        address
            Tunnel address of the peer.
        target
            The engine.
        is_check
            Whether only to ask if the engine still runs.

        Raises
        ------
        TunnelRefusedError
            If the peer has not connected to the engine, or knows it.
        OSError, TimeoutError, PimentoquayError
            If the peer cannot be reached, or does not know the key.
        """
        host, port = split_address(address)
        request = TunnelRequest(target.engine, target.incarnation, target.address, is_check)
        protocol: _TunnelProtocol | None = None
        try:
            async with attempt_timeout(OPEN_SECONDS):
                _, protocol = await connect_tcp(
                    lambda: _TunnelProtocol(self._identity, self._key, request, self._turns),
                    host,
                    port,
                )
                reply = await protocol.reply
        except BaseException:
            if protocol is not None:
                protocol.transport.abort()
            raise
        if reply.outcome is not TunnelOutcome.OPEN or is_check:
            protocol.transport.abort()
            raise TunnelRefusedError(reply)
        return protocol.begin(factory())


class _TunnelProtocol(SharedBufferProtocol):
    """The side of a tunnel that uses it: opens it, then passes the engine's bytes on.

    A read may hold thousands of tiny frames. They are joined, and passed on in turns while nothing
    else is read; nothing is passed on while the protocol that uses the tunnel has paused. If the
    tunnel is reset, what was read before is passed on at once; ``is_passing_rest`` is true
    meanwhile.
    """

    def __init__(
        self, identity: Identity, key: bytes, request: TunnelRequest, turns: TurnQueue
    ) -> None:
        self._identity = identity
        self._key = key
        self._request = request
        self._turns = turns
        self._reader = FrameReader()
        self._challenge: Challenge | None = None
        self._hello: Any = None
        self._is_welcome = False
        self._inner: Any = None
        self._is_paused = False
        self._has_ended = False
        self.is_passing_rest = False
        self.transport: Any = None
        self.reply: asyncio.Future[TunnelReply] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def begin(self, inner: Any) -> tuple[Any, Any]:
        """Connect the tunnel to the protocol that uses it."""
        self._inner = inner
        transport = _TunnelTransport(self.transport, self)
        inner.connection_made(transport)
        self._deliver(self._reader.take_rest())
        return transport, inner

    def data_received(self, data: bytes) -> None:
        if self._inner is not None:
            self._deliver(data)
        elif not self.reply.done():
            try:
                self._open(data)
            except PimentoquayError as error:
                self._fail(error)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._turns.discard(self)
        if not self.reply.done():
            self._fail(exc or ConnectionResetError("the peer closed the tunnel"))
        if self._inner is not None:
            if exc is not None and self._reader.has_more:
                self.is_passing_rest = True
                try:
                    self._pass_on(self._reader.feed(b""))
                finally:
                    self.is_passing_rest = False
            if not self._has_ended:
                exc = exc or ConnectionResetError("the tunnel ended before the engine's connection")
            self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        if self._inner is not None:
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        if self._inner is not None:
            self._inner.resume_writing()

    def pause(self) -> None:
        """Pass nothing on until the protocol that uses the tunnel reads again."""
        self._is_paused = True
        self.transport.pause_reading()

    def resume(self) -> None:
        """Go on passing bytes on, first those that were read before."""
        self._is_paused = False
        if self._reader.has_more:
            self._turns.add(self, self._continue)
        else:
            self.transport.resume_reading()

    def _fail(self, error: Exception) -> None:
        """Fail the opening of the tunnel, which nobody may be waiting for any more."""
        self.reply.set_exception(error)
        self.reply.exception()

    def _open(self, data: bytes) -> None:
        message = self._reader.read_message(data)
        while message is not None and not self.reply.done():
            self._receive(decode(message))
            message = self._reader.read_message(b"") if not self.reply.done() else None

    def _receive(self, message: Any) -> None:
        if isinstance(message, Rejected):
            raise handshake.HandshakeError(message.code, message.detail)
        if isinstance(message, Challenge) and self._challenge is None:
            self._challenge = message
            self._hello = handshake.make_hello(self._identity, self._key, message)
            self.transport.write(frame(encode(self._hello)) + frame(encode(self._request)))
        elif isinstance(message, Welcome) and self._challenge is not None and not self._is_welcome:
            handshake.check_welcome(message, self._key, self._challenge, self._hello)
            self._is_welcome = True
        elif isinstance(message, TunnelReply) and self._is_welcome:
            self.reply.set_result(message)
        else:
            raise CodecError(ResultCode.FRAME_MALFORMED, f"unexpected {type(message).__name__}")

    def _deliver(self, data: bytes) -> None:
        self._pass_on(self._reader.feed(data, FRAMES_PER_TURN))
        if self._reader.has_more:
            self.transport.pause_reading()
            if not self._is_paused:
                self._turns.add(self, self._continue)

    def _continue(self) -> bool:
        """Pass on what one turn allows; return whether more is to be passed on."""
        if self._is_paused or self.transport.is_closing():
            return False
        self._pass_on(self._reader.feed(b"", FRAMES_PER_TURN))
        if not self._reader.has_more and not self._is_paused and not self.transport.is_closing():
            self.transport.resume_reading()
        return self._reader.has_more and not self._is_paused

    def _pass_on(self, parts: list[bytes | None]) -> None:
        for part in parts:
            if part is None:
                self._inner.retire()
            elif part:
                self._inner.data_received(part)
            else:
                self._has_ended = True
                self._inner.eof_received()
                self.transport.close()


class _TunnelTransport(asyncio.Transport):
    """Transport of the protocol that uses a tunnel.

    It is open until the protocol closes it, or until all that was read before a reset is passed on.
    """

    def __init__(self, transport: Any, tunnel: _TunnelProtocol) -> None:
        super().__init__()
        self._transport = transport
        self._tunnel = tunnel
        self._is_closed = False

    def write(self, data: Any) -> None:
        self._transport.write(data)

    def get_write_buffer_size(self) -> int:
        return int(self._transport.get_write_buffer_size())

    def is_closing(self) -> bool:
        if self._is_closed:
            return True
        return bool(self._transport.is_closing()) and not self._tunnel.is_passing_rest

    def pause_reading(self) -> None:
        self._tunnel.pause()

    def resume_reading(self) -> None:
        self._tunnel.resume()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def abort(self) -> None:
        self._is_closed = True
        self._transport.abort()

    def close(self) -> None:
        self._is_closed = True
        self._transport.close()
