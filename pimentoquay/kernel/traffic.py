"""Counts the bytes and messages of this process, for metrics and for the capacity page.

Only what the process itself writes and reads is counted, without TCP and IP headers.
"""

from dataclasses import dataclass

__all__ = ["Traffic", "process_traffic"]


@dataclass
class Traffic:
    """Running totals since the process started."""

    peer_bytes_sent: int = 0
    peer_bytes_received: int = 0
    peer_messages_sent: int = 0
    peer_messages_received: int = 0
    http_bytes_sent: int = 0
    http_bytes_received: int = 0

    def count_sent(self, size: int) -> None:
        """Count one message to another process."""
        self.peer_messages_sent += 1
        self.peer_bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count one message from another process."""
        self.peer_messages_received += 1
        self.peer_bytes_received += size


process_traffic = Traffic()
"""The totals of this process."""
