"""Deadlines of a request: for its first token and for starting another attempt."""

from pimentoquay.entry.request import RequestSpec

__all__ = ["TimeLimits"]


class TimeLimits:
    """Deadlines of one request, in seconds of the node's clock.

    Parameters
    ----------
    spec
        The request.
    received_at
        Time at which the request arrived.

    Attributes
    ----------
    first_token_deadline
        Latest time of the first token. ``extend_first_token_deadline`` replaces it.
    """

    def __init__(self, spec: RequestSpec, received_at: float) -> None:
        self._kind = spec.kind
        self._decode_seconds = spec.max_tokens * spec.kind.token_interval_target
        self.first_token_deadline = received_at + spec.kind.first_token_target
        self._retry_deadline = self.first_token_deadline
        if not spec.streaming:
            self._retry_deadline += self._decode_seconds

    def retry_deadline(self, streamed_since: float) -> float:
        """Return the latest time at which another attempt may begin.

        ``streamed_since`` is the time at which the first token was sent to the caller, or 0 if
        none was sent.
        """
        return streamed_since + self._decode_seconds if streamed_since else self._retry_deadline

    def extend_first_token_deadline(self, now: float) -> None:
        """Set a new first-token deadline for a run that begins after the first token was sent.

        Such a run cannot change when the caller got its first token. What matters to the caller by
        then is the time of the last token.
        """
        self.first_token_deadline = now + self._kind.first_token_target
