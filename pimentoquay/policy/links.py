"""Links between engines: how they are named, and how long a transfer may take.

A transfer that fails says that the sender's or the receiver's side of the link is bad, not which.
Both sides are charged, and a success over either clears it, so that the bad side stands out.
"""

__all__ = [
    "KV_SECONDS",
    "LinkLoad",
    "TransferDurations",
    "egress_key",
    "ingress_key",
    "is_link_key",
    "link_keys",
]

KV_SECONDS = 0.75
"""How long KV is counted on to live after its prefill, unless it is fetched."""

TIMEOUT_FACTOR = 4.0
"""Times the usual duration after which a transfer counts as stalled."""

TIMEOUT_MARGIN_SECONDS = 0.1
"""Added to that, for short transfers."""

NEW_SAMPLE_WEIGHT = 0.1
"""Weight of the newest transfer in the mean."""


def egress_key(engine: str) -> str:
    """Return the key of an engine's sending side."""
    return f"{engine}>"


def ingress_key(engine: str) -> str:
    """Return the key of an engine's receiving side."""
    return f">{engine}"


def link_keys(source: str, target: str) -> tuple[str, ...]:
    """Return the keys of a transfer; none if both ends are one engine."""
    return () if source == target else (egress_key(source), ingress_key(target))


def is_link_key(key: str) -> bool:
    """Tell whether a key names a side of a link rather than an engine."""
    return ">" in key


class _Crossing:
    """One transfer: when it begins, when it ends at the latest, and when its KV expires."""

    __slots__ = ("end", "seconds", "start", "until")

    def __init__(self, start: float, seconds: float, end: float, until: float) -> None:
        self.start = start
        self.seconds = seconds
        self.end = end
        self.until = until


class LinkLoad:
    """The transfers that cross one side of a link, or will when their prefill has ended.

    The link is shared equally, so that of two transfers each delays the other by no more than the
    shorter takes alone. A transfer fits as long as no KV, its own included, can be delayed beyond
    its life. Times are in seconds.

    Example
    -------
    ::

        if link.fits(start=now, seconds=0.2):
            link.add("r1", start=now, seconds=0.2, life=KV_SECONDS)
    """

    def __init__(self) -> None:
        self._crossing_by_request: dict[str, _Crossing] = {}

    def __len__(self) -> int:
        return len(self._crossing_by_request)

    def fits(self, start: float, seconds: float) -> bool:
        """Tell whether a transfer that takes ``seconds`` on an idle link may be added."""
        end = start + seconds
        for other in self._crossing_by_request.values():
            if start < other.end and other.start < end:
                delay = min(seconds, other.seconds)
                end += delay
                if other.end + delay > other.until:
                    return False
        return end <= start + KV_SECONDS

    def add(self, request_id: str, start: float, seconds: float, life: float) -> None:
        """Enter a transfer whose KV lives for ``life`` seconds from its start."""
        end = start + seconds
        for other in self._crossing_by_request.values():
            if start < other.end and other.start < end:
                delay = min(seconds, other.seconds)
                end += delay
                other.end += delay
        crossing = _Crossing(start, seconds, end, start + life)
        self._crossing_by_request[request_id] = crossing

    def remove(self, request_id: str) -> None:
        """Forget a transfer that has ended, if it is known."""
        self._crossing_by_request.pop(request_id, None)


class TransferDurations:
    """The usual seconds per byte of KV transfers, to tell a stalled one by.

    Example
    -------
    ::

        durations.add(kv_bytes=160_000_000, seconds=0.07)
        limit = durations.timeout(kv_bytes=80_000_000, most=0.8)
    """

    def __init__(self) -> None:
        self._seconds_per_byte = 0.0

    def add(self, kv_bytes: int, seconds: float) -> None:
        """Take in a finished transfer."""
        if kv_bytes <= 0:
            return
        sample = seconds / kv_bytes
        weight = NEW_SAMPLE_WEIGHT if self._seconds_per_byte else 1.0
        self._seconds_per_byte += weight * (sample - self._seconds_per_byte)

    def timeout(self, kv_bytes: int, most: float) -> float:
        """Return the seconds after which a transfer counts as stalled, at most ``most``."""
        if not self._seconds_per_byte:
            return most
        return min(
            most, TIMEOUT_MARGIN_SECONDS + TIMEOUT_FACTOR * kv_bytes * self._seconds_per_byte
        )
