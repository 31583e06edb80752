"""Requests that were read, in part or whole, and end without being passed to the handler."""

from collections import Counter

from pimentoquay.kernel.logs import logger

__all__ = ["UnansweredRequests"]


class UnansweredRequests:
    """Counts and logs the requests of a server that get no answer and reach no handler.

    ``count_by_reason`` counts them by reason: ``lost`` if the connection ended while the request
    was being read, ``behind_cut`` if it was read behind one whose answer was broken off, and
    ``behind_unread`` if its caller did not read the answers before it.
    """

    def __init__(self) -> None:
        self.count_by_reason: Counter[str] = Counter()

    def record(self, reason: str, **fields: object) -> None:
        """Count a request and log it with some fields; they must not hold what was read."""
        self.count_by_reason[reason] += 1
        logger.bind(reason=reason, **fields).info("request not answered")
