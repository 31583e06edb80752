"""What the system knows of a TCP connection beyond its transport.

The system keeps some megabytes of written bytes after they have left the transport, until the other
end has acknowledged them. If the socket is closed then and a byte arrives, the system resets the
connection, and they are lost. It also knows what has arrived, and that the other end has closed,
before the process has read either.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Any

__all__ = [
    "close_when_sent",
    "has_ended",
    "is_established",
    "is_quiet",
    "reset_on_close",
    "unread_bytes",
    "unsent_bytes",
]

CHECK_SECONDS = 0.1
"""Interval at which a connection that is to be closed is checked."""

MAX_SECONDS = 15.0
"""Longest wait for an end that reads nothing, and does not say how long it waits."""

EXPIRED_SECONDS = 2.0
"""Longest wait for an end that reads nothing, after the time for which it said that it waits."""


_ESTABLISHED = 1
"""State of a connection that neither end has closed, as ``TCP_INFO`` gives it in Linux."""


_OTHER_END_OPEN = frozenset((_ESTABLISHED, 3, 4, 5))
"""States in which the other end is open, also before the first byte and after the own end."""


def is_established(transport: Any) -> bool:
    """Return whether neither end has closed; the other's end is seen behind unread bytes too."""
    return _state_of(transport) == _ESTABLISHED


def has_ended(transport: Any) -> bool:
    """Return whether the other end has closed, which is seen behind unread bytes too."""
    return _state_of(transport) not in _OTHER_END_OPEN


def _state_of(transport: Any) -> int:
    """Return the state of the connection, or -1 if the socket has none any more."""
    sock = transport.get_extra_info("socket")
    try:
        return int(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])
    except OSError:
        return -1


_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing the socket resets the connection."""


def reset_on_close(transport: Any) -> None:
    """Let the system reset the connection when it is closed."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def unsent_bytes(transport: Any) -> int:
    """Return the number of bytes in the transport, and in the system without acknowledgement.

    The end of the connection counts as one. Where the system does not tell, it counts as none.
    """
    sock = transport.get_extra_info("socket")
    buffered = int(transport.get_write_buffer_size())
    if sock is None or sock.fileno() < 0:
        return buffered
    try:
        (queued,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))
    except OSError:
        return buffered
    return buffered + int(queued)


def unread_bytes(transport: Any) -> int:
    """Return the number of bytes that have arrived and that the process has not read.

    Where the system does not tell, and where no socket is open, it counts as none.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        (count,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))
    except OSError:
        return 0
    return int(count)


def is_quiet(transport: Any) -> bool:
    """Return whether the other end of an idle connection has neither closed it nor sent bytes.

    A transport without a socket of its own counts as quiet.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    return is_established(transport) and not unread_bytes(transport)


def close_when_sent(transport: Any, expires_at: float) -> None:
    """Close a connection when nothing is unsent, or abort it when its other end reads no more.

    ``expires_at`` is the event loop time until which the other end waits. One that reads slowly
    but steadily gets everything.
    """
    loop = asyncio.get_running_loop()
    _close_when_sent(loop, transport, expires_at, unsent_bytes(transport), loop.time())


def _close_when_sent(
    loop: asyncio.AbstractEventLoop,
    transport: Any,
    expires_at: float,
    least_unsent: int,
    read_at: float,
) -> None:
    if transport.is_closing():
        return
    now, unsent = loop.time(), unsent_bytes(transport)
    if unsent < least_unsent:
        least_unsent, read_at = unsent, now
    most = EXPIRED_SECONDS if now >= expires_at else MAX_SECONDS
    if not unsent:
        transport.close()
    elif now - read_at >= min(most, MAX_SECONDS):
        # ``close`` would wait without end for the bytes in the transport to be read. A reset shows
        # that they are missing also where the end of the connection marks that of the response.
        if transport.get_write_buffer_size():
            reset_on_close(transport)
        transport.abort()
    else:
        loop.call_later(
            CHECK_SECONDS, _close_when_sent, loop, transport, expires_at, least_unsent, read_at
        )
