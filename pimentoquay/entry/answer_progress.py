"""Progress of the answer to one request, over all runs of the request."""

from pimentoquay.entry.attempt import FRAME_END
from pimentoquay.entry.replay import Replay, SentFrames
from pimentoquay.entry.request import RequestSpec

__all__ = ["AnswerProgress"]

DONE_FRAME = b"data: [DONE]\n\n"
"""Last frame of a complete answer."""

CLOSING_FRAME_COUNT = 2
"""Number of frames at the end of an answer without a token: the finish reason and ``[DONE]``."""


class AnswerProgress:
    """Token count of an answer, and its frames if another run may continue it.

    Parameters
    ----------
    spec
        The request. Frames are stored only if it is streamed and idempotent, since no other answer
        can be continued by another run.

    Attributes
    ----------
    tokens
        Number of tokens relayed so far, or collected if the answer is not streamed.
    is_complete
        Whether the last frame of the answer has arrived.
    """

    def __init__(self, spec: RequestSpec) -> None:
        self.tokens = 0
        self.is_complete = False
        self._sent = SentFrames() if spec.streaming and spec.kind.idempotent else None
        self._replay: Replay | None = None

    @property
    def can_be_replayed(self) -> bool:
        """Whether another run of the request may continue the answer."""
        return self._sent is not None

    @property
    def position(self) -> int:
        """Index of the next token of the current run, at which the run can be resumed."""
        return self._replay.position if self._replay else self.tokens

    def start_at(self, offset: int) -> None:
        """Start counting at ``offset`` tokens, which another entry has sent.

        Their frames are unknown here, so the answer can no longer be continued by another run.
        """
        self.tokens = offset
        self._sent = None

    def restart(self) -> None:
        """Reset the token count for another run; nothing of the answer has been sent yet."""
        self.tokens = 0

    def start_replay(self) -> None:
        """Compare the frames of the next run with the frames already sent."""
        assert self._sent is not None
        self._replay = Replay(self._sent)

    def accept(self, chunk: bytes) -> bytes:
        """Count a chunk, and return the part of it that the caller does not have yet.

        Raises
        ------
        ReplayMismatchError
            If a repeated run produces a frame that differs from the one sent.
        """
        if self._replay is not None:
            chunk = self._replay.skip_sent(chunk)
            if self._replay.is_done:
                self._replay = None
        self._count(chunk)
        return chunk

    def _count(self, chunk: bytes) -> None:
        if self._sent is not None and chunk:
            self._sent.add(chunk)
        self.tokens += chunk.count(FRAME_END)
        if chunk.endswith(DONE_FRAME):
            self.tokens -= CLOSING_FRAME_COUNT
            self.is_complete = True
