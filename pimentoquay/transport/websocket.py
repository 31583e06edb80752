"""Channels over WebSocket, opened by a handshake that authenticates peers by a shared key.

Example
-------
::

    transport = WebSocketTransport(identity, key=b"shared key")
    await transport.listen("127.0.0.1:7201", peers.serve)
    channel = await transport.connect("127.0.0.1:7202")
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection, broadcast
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.frames import CloseCode

from pimentoquay.kernel import Channel, HybridClock, Identity, PimentoquayError, ResultCode
from pimentoquay.kernel.input_checks import describe
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.traffic import process_traffic
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.connection import Challenge, Hello, Rejected, Welcome
from pimentoquay.transport import handshake
from pimentoquay.transport.addresses import split_address
from pimentoquay.transport.bounded_connection import (
    BoundedClientConnection,
    BoundedServerConnection,
)
from pimentoquay.transport.framing import MAX_PACKET_BYTES, pack_unless_too_large, unpack

__all__ = ["WebSocketChannel", "WebSocketTransport", "split_address"]

HANDSHAKE_SECONDS = 2.0
"""Maximum wait for the peer's messages during the handshake, in seconds."""

PING_SECONDS = 20.0
"""Interval between pings in seconds."""

PING_TIMEOUT_SECONDS = 5.0
"""Maximum wait for the response to a ping, in seconds.

Pings only close unused connections; on others, heartbeats and lease renewals detect a lost peer
sooner.
"""

CLOSE_SECONDS = 0.5
"""Maximum wait for the peer's part of the closing handshake, in seconds."""

MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""Maximum size of the send buffer of a channel, in bytes.

A channel that exceeds it is closed, because its peer does not read.
"""

_CONNECTION_OPTIONS: dict[str, Any] = {
    "compression": None,
    "max_size": MAX_PACKET_BYTES,
    "ping_interval": PING_SECONDS,
    "ping_timeout": PING_TIMEOUT_SECONDS,
    "close_timeout": CLOSE_SECONDS,
    "open_timeout": HANDSHAKE_SECONDS,
}
"""Options of the WebSocket library for both outgoing and accepted connections."""

AcceptCallback = Callable[[Channel], Any]


class WebSocketChannel:
    """An open channel over a WebSocket connection.

    Messages are written to the socket's buffer immediately rather than by a separate task, because
    a task switch for each message costs more than writing it.
    """

    def __init__(
        self,
        connection: Connection,
        peer: Identity,
        clock: HybridClock | None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        self._connection = connection
        self.peer = peer
        self._clock = clock
        self._max_unsent_bytes = max_unsent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Size of the send buffer, in bytes."""
        return int(self._connection.transport.get_write_buffer_size())

    def send(self, message: Any) -> None:
        """Write a message, or close the channel if its send buffer would become too large.

        A message that is too large itself is logged and dropped.
        """
        packet = pack_unless_too_large(message, self._clock, self.peer.vm)
        if packet is None:
            return
        if self.unsent_bytes + len(packet) > self._max_unsent_bytes:
            logger.bind(peer=self.peer.vm).warning(
                "send buffer to peer is full; closing the channel"
            )
            self._connection.transport.abort()
            return
        process_traffic.count_sent(len(packet))
        broadcast((self._connection,), packet)

    async def receive(self) -> Any:
        """Return the next message; ``ConnectionError`` once closed, ``CodecError`` if malformed."""
        try:
            packet = await self._connection.recv()
        except WebSocketException as error:
            if _is_too_large(error):
                raise CodecError(ResultCode.FRAME_TOO_LARGE, "a packet of a peer") from error
            raise ConnectionResetError(f"channel to {self.peer.vm} is closed") from error
        if isinstance(packet, str):
            raise CodecError(ResultCode.FRAME_MALFORMED, "a text frame")
        process_traffic.count_received(len(packet))
        return unpack(packet, self._clock)

    async def close(self) -> None:
        """Send the buffered messages, then close the channel."""
        await self._connection.close()


def _is_too_large(error: WebSocketException) -> bool:
    """Return whether the library closed a channel because of the size of a packet."""
    if not isinstance(error, ConnectionClosed) or error.sent is None or error.rcvd_then_sent:
        return False
    return error.sent.code == CloseCode.MESSAGE_TOO_BIG


class WebSocketTransport:
    """Opens and accepts channels for one process.

    Parameters
    ----------
    identity
        Identity that this process presents to its peers.
    key
        Secret shared by all processes of the system.
    turns
        Continues with messages that one read left over; a queue of its own if omitted.
    max_unsent_bytes
        Size of the send buffer above which a channel is closed, in bytes.
    """

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        turns: TurnQueue | None = None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        self.identity = identity
        self._turns = turns if turns is not None else TurnQueue()
        self._key = key
        self._max_unsent_bytes = max_unsent_bytes
        self._clock: HybridClock | None = None
        self._server: Server | None = None
        self._channels: set[WebSocketChannel] = set()

    def stamp_with(self, clock: HybridClock) -> None:
        """Add timestamps of ``clock`` to sent messages, and advance it by received timestamps."""
        self._clock = clock

    async def listen(self, address: str, accept: AcceptCallback) -> None:
        """Accept channels at ``address`` and await ``accept`` for each; ``OSError`` if in use."""
        host, port = split_address(address)

        async def handle(connection: ServerConnection) -> None:
            channel = await self._accept_handshake(connection)
            if channel is not None:
                await accept(channel)

        self._server = await serve(
            handle,
            host,
            port,
            **_CONNECTION_OPTIONS,
            create_connection=partial(BoundedServerConnection, self._turns),  # type: ignore[arg-type]
            server_header=None,
        )

    @property
    def port(self) -> int:
        """TCP port of the listening socket, assigned by the system if port 0 was requested."""
        if self._server is None:
            raise RuntimeError("the transport does not listen")
        return int(next(iter(self._server.sockets)).getsockname()[1])

    async def connect(self, address: str) -> Channel:
        """Connect and authenticate; ``ConnectionError`` or ``HandshakeError`` if that fails."""
        try:
            connection = await connect(
                f"ws://{address}/",
                **_CONNECTION_OPTIONS,
                create_connection=partial(  # type: ignore[arg-type]
                    BoundedClientConnection, self._turns
                ),
                user_agent_header=None,
                proxy=None,
            )
        except (WebSocketException, OSError, TimeoutError, ValueError, OverflowError) as error:
            raise ConnectionRefusedError(
                f"cannot connect to {describe(address)}: {error}"
            ) from None
        try:
            peer = await asyncio.wait_for(self._authenticate(connection), HANDSHAKE_SECONDS)
        except (WebSocketException, TimeoutError) as error:
            await connection.close()
            raise ConnectionResetError(f"handshake with {address} failed: {error!r}") from None
        except PimentoquayError:
            await connection.close()
            raise
        return self._add_channel(connection, peer)

    async def close(self) -> None:
        """Stop listening and close every channel."""
        if self._server is not None:
            self._server.close(close_connections=False)
        for channel in tuple(self._channels):
            await channel.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _add_channel(self, connection: Connection, peer: Identity) -> WebSocketChannel:
        channel = WebSocketChannel(connection, peer, self._clock, self._max_unsent_bytes)
        self._channels.add(channel)
        closing = asyncio.create_task(connection.wait_closed())
        closing.add_done_callback(lambda _: self._channels.discard(channel))
        return channel

    async def _accept_handshake(self, connection: ServerConnection) -> WebSocketChannel | None:
        challenge = handshake.make_challenge()
        try:
            await connection.send(encode(challenge))
            hello = await asyncio.wait_for(_receive(connection, Hello), HANDSHAKE_SECONDS)
            peer = handshake.check_hello(hello, self._key, challenge)
            welcome = handshake.make_welcome(self.identity, self._key, challenge, hello)
            await connection.send(encode(welcome))
        except PimentoquayError as error:
            logger.bind(code=int(error.code), error=str(error)).warning(
                "peer rejected during the handshake"
            )
            await _reject(connection, error)
            return None
        except (WebSocketException, TimeoutError):
            await connection.close()
            return None
        return self._add_channel(connection, peer)

    async def _authenticate(self, connection: Connection) -> Identity:
        challenge = await _receive(connection, Challenge)
        hello = handshake.make_hello(self.identity, self._key, challenge)
        await connection.send(encode(hello))
        welcome = await _receive(connection, Welcome)
        return handshake.check_welcome(welcome, self._key, challenge, hello)


async def _receive(connection: Connection, cls: type) -> Any:
    packet = await connection.recv()
    if isinstance(packet, str):
        raise CodecError(ResultCode.FRAME_MALFORMED, "a text frame")
    item = decode(packet)
    if isinstance(item, Rejected):
        raise handshake.HandshakeError(item.code, item.detail)
    if not isinstance(item, cls):
        raise CodecError(ResultCode.FRAME_MALFORMED, f"expected {cls.__name__}, got {type(item)}")
    return item


async def _reject(connection: Connection, error: PimentoquayError) -> None:
    try:
        await connection.send(encode(Rejected(error.code, error.detail)))
        await connection.close(code=1008, reason=str(int(error.code)))
    except WebSocketException:
        return
