"""Counters of the bytes and messages that this process sends and receives.

They are used for metrics and capacity planning. TCP and IP headers are not counted. Of HTTP, only
the requests of ``HttpPeer`` and the responses that it reads as a whole are counted.
"""

from collections import Counter
from dataclasses import dataclass

__all__ = ["Traffic", "process_traffic", "refused_messages"]


@dataclass
class Traffic:
    """Totals since the process started."""

    peer_bytes_sent: int = 0
    peer_bytes_received: int = 0
    peer_messages_sent: int = 0
    peer_messages_received: int = 0
    http_bytes_sent: int = 0
    http_bytes_received: int = 0

    def count_sent(self, size: int) -> None:
        """Count a message of ``size`` bytes sent to another process."""
        self.peer_messages_sent += 1
        self.peer_bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count a message of ``size`` bytes received from another process."""
        self.peer_messages_received += 1
        self.peer_bytes_received += size


process_traffic = Traffic()
"""Totals of this process."""

refused_messages: Counter[str] = Counter()
"""Messages ``sent`` that were too large and dropped, and ``received`` that could not be read."""
