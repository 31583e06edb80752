"""Links between engines: their circuit keys, their load and the timeouts of transfers over them.

A failed transfer does not show whether the sender's or the receiver's side of the link is faulty.
The failure is recorded for both sides, and a later success over a side clears it, so that only the
faulty side keeps failing.
"""

__all__ = [
    "KV_LIFETIME_SECONDS",
    "LinkLoad",
    "TransferDurations",
    "egress_key",
    "ingress_key",
    "is_link_key",
    "link_keys",
]

KV_LIFETIME_SECONDS = 0.75
"""Time in seconds for which an engine is assumed to keep KV cache that nobody fetches."""

TIMEOUT_FACTOR = 4.0
"""Multiple of the mean duration after which a transfer counts as stalled."""

TIMEOUT_MARGIN_SECONDS = 0.1
"""Time added to the timeout so that short transfers do not count as stalled, in seconds."""

NEW_SAMPLE_WEIGHT = 0.1
"""Weight of the newest transfer in the moving average."""


def egress_key(engine: str) -> str:
    """Return the circuit key of an engine's sending side."""
    return f"{engine}>"


def ingress_key(engine: str) -> str:
    """Return the circuit key of an engine's receiving side."""
    return f">{engine}"


def link_keys(source: str, target: str) -> tuple[str, ...]:
    """Return the circuit keys of a transfer; none if source and target are the same engine."""
    return () if source == target else (egress_key(source), ingress_key(target))


def is_link_key(key: str) -> bool:
    """Return whether a circuit key is that of one side of a link rather than of an engine."""
    return ">" in key


class _Transfer:
    """A transfer: its start, its duration on an idle link, its latest end and its KV's expiry."""

    __slots__ = ("end", "seconds", "start", "until")

    def __init__(self, start: float, seconds: float, end: float, until: float) -> None:
        self.start = start
        self.seconds = seconds
        self.end = end
        self.until = until


class LinkLoad:
    """Transfers over one side of a link, including those whose prefill is still running.

    Load pattern: several transfers at once over a link that they share equally. Each of two
    transfers delays the other by at most the time that the shorter one takes alone. A transfer fits
    if neither its own KV cache nor that of any other transfer can expire before its transfer ends.
    Times are in seconds.

    Example
    -------
    ::

        if link.fits(start=now, seconds=0.2):
            link.add("r1", start=now, seconds=0.2, lifetime=KV_LIFETIME_SECONDS)
    """

    def __init__(self) -> None:
        self._transfer_by_request: dict[str, _Transfer] = {}

    def __len__(self) -> int:
        return len(self._transfer_by_request)

    def fits(self, start: float, seconds: float) -> bool:
        """Return whether a transfer can be added that takes ``seconds`` on an idle link."""
        end = start + seconds
        for other in self._transfer_by_request.values():
            if start < other.end and other.start < end:
                delay = min(seconds, other.seconds)
                end += delay
                if other.end + delay > other.until:
                    return False
        return end <= start + KV_LIFETIME_SECONDS

    def add(self, request_id: str, start: float, seconds: float, lifetime: float) -> None:
        """Add a transfer whose KV cache expires ``lifetime`` seconds after its start."""
        end = start + seconds
        for other in self._transfer_by_request.values():
            if start < other.end and other.start < end:
                delay = min(seconds, other.seconds)
                end += delay
                other.end += delay
        transfer = _Transfer(start, seconds, end, start + lifetime)
        self._transfer_by_request[request_id] = transfer

    def remove(self, request_id: str) -> None:
        """Remove a transfer that has ended; unknown ones are ignored."""
        self._transfer_by_request.pop(request_id, None)


class TransferDurations:
    """Mean duration of KV transfers per byte, from which their timeouts are derived.

    Failure pattern: a transfer that stalls, which otherwise fails only when its KV cache expires.

    Example
    -------
    ::

        durations.add(kv_bytes=160_000_000, seconds=0.07)
        limit = durations.timeout(kv_bytes=80_000_000, max_seconds=0.8)
    """

    def __init__(self) -> None:
        self._seconds_per_byte = 0.0

    def add(self, kv_bytes: int, seconds: float) -> None:
        """Add a finished transfer to the mean."""
        if kv_bytes <= 0:
            return
        sample = seconds / kv_bytes
        weight = NEW_SAMPLE_WEIGHT if self._seconds_per_byte else 1.0
        self._seconds_per_byte += weight * (sample - self._seconds_per_byte)

    def timeout(self, kv_bytes: int, max_seconds: float) -> float:
        """Return the seconds after which a transfer counts as stalled, at most ``max_seconds``."""
        if not self._seconds_per_byte:
            return max_seconds
        return min(
            max_seconds, TIMEOUT_MARGIN_SECONDS + TIMEOUT_FACTOR * kv_bytes * self._seconds_per_byte
        )
