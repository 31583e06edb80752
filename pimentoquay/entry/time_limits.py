"""Until when a request's first token is due, and until when it may be run again."""

from pimentoquay.entry.request import RequestSpec

__all__ = ["TimeLimits"]


class TimeLimits:
    """The limits of one request; all times are in seconds of the node's clock.

    Parameters
    ----------
    spec
        The request.
    received_at
        When it came.

    Attributes
    ----------
    first_token_due
        When the first token is due; a run after the first token has a target of its own.
    """

    def __init__(self, spec: RequestSpec, received_at: float) -> None:
        self._kind = spec.kind
        self._decode_seconds = spec.max_tokens * spec.kind.token_interval_target
        self.first_token_due = received_at + spec.kind.first_token_target
        self._retry_until = self.first_token_due
        if not spec.streaming:
            self._retry_until += self._decode_seconds

    def retry_until(self, streamed_since: float) -> float:
        """Return until when another attempt may begin.

        ``streamed_since`` is when the first token went out, or 0.
        """
        return streamed_since + self._decode_seconds if streamed_since else self._retry_until

    def extend(self, now: float) -> None:
        """Give a run after the first token its own target.

        What counts for the caller by then is the time of the last token.
        """
        self.first_token_due = now + self._kind.first_token_target
