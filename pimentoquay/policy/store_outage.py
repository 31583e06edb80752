"""Whether the store was away, and when it came back, by the reads of all VMs.

Failure pattern: entries of engines lapse while the store is away, and their engines need some time
to be listed again after its return. A VM that failed to read then gets the list from a peer, and
reads the store itself only much later, or was the only one that the store turned away. Neither is
an outage that has just ended.
"""

__all__ = ["StoreOutage"]


class StoreOutage:
    """Failed reads of one VM, and the reads of it and its peers.

    A failure counts only if no VM has read the store for longer than ``longest_age`` seconds, since
    a newer read of a peer shows that the store serves others.

    Parameters
    ----------
    longest_age
        Age that the newest read has only if no VM can read the store, in seconds.

    Example
    -------
    >>> outage = StoreOutage(longest_age=2.0)
    >>> outage.record_failure(10.0)
    >>> outage.record_read(14.0), outage.record_read(60.0)
    (True, False)
    """

    def __init__(self, longest_age: float) -> None:
        self._longest_age = longest_age
        self._read_at = float("-inf")
        self._failed_at: float | None = None

    def record_failure(self, now: float) -> None:
        """Record that this VM failed to read the list of engines."""
        if self._failed_at is None and now - self._read_at > self._longest_age:
            self._failed_at = now

    def record_read(self, read_at: float) -> bool:
        """Record a read of any VM; return whether it is the first one after an outage."""
        self._read_at = max(self._read_at, read_at)
        has_returned = self._failed_at is not None and read_at > self._failed_at
        if has_returned:
            self._failed_at = None
        return has_returned
