"""Non-blocking output of log lines to a pipe whose reader may be slow."""

import os

__all__ = ["LogStream"]

MAX_PENDING_BYTES = 1024 * 1024
"""Maximum size of the buffer in bytes, for a few thousand lines; further lines are dropped."""


class LogStream:
    """Non-blocking writer of whole lines to a file descriptor.

    Lines that the reader has not accepted yet are buffered. A line that does not fit into the
    buffer is dropped. Before the next line that fits, a line with the number of lost lines is
    written.

    Parameters
    ----------
    descriptor
        File descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.lost_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Buffer a line and write as much of the buffer as the reader accepts."""
        self._send()
        data = line.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.lost_lines += 1
            return
        if self.lost_lines:
            self._pending += b'{"message": "log lines lost", "lines": "%d"}\n' % self.lost_lines
            self.lost_lines = 0
        self._pending += data
        self._send()

    def _send(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the buffered lines are lost.
                self.lost_lines += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]
