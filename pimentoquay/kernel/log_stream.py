"""Log lines to a pipe whose reader may be slow, without ever waiting for it."""

import os

__all__ = ["LogStream"]

MAX_PENDING_BYTES = 1024 * 1024
"""The most bytes that wait for a reader; some thousand lines. Later lines are lost and counted."""


class LogStream:
    """Writes whole lines to a file descriptor as far as its reader takes them.

    A line that does not fit into what may wait is lost. Once lines fit again, one that tells how
    many were lost comes first.

    Parameters
    ----------
    descriptor
        Where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.lost = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or as much of it as is taken at once."""
        self._send()
        data = line.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.lost += 1
            return
        if self.lost:
            self._pending += b'{"message": "log lines lost", "lines": "%d"}\n' % self.lost
            self.lost = 0
        self._pending += data
        self._send()

    def _send(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone and nobody can be told; the lines count as lost.
                self.lost += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]
