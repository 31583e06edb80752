"""How far a request's answer has come, over all the runs that it takes."""

from pimentoquay.entry.attempt import FRAME_END
from pimentoquay.entry.replay import Replay, SentFrames
from pimentoquay.entry.request import RequestSpec

__all__ = ["AnswerProgress"]

DONE_FRAME = b"data: [DONE]\n\n"
"""The frame that ends a whole answer."""

CLOSING_FRAMES = 2
"""Frames of a whole answer that hold no token: the finish reason and ``[DONE]``."""


class AnswerProgress:
    """Counts an answer's tokens, and keeps its frames where another run may go on with it.

    Parameters
    ----------
    spec
        The request. Only a streamed answer to an idempotent one is kept.

    Attributes
    ----------
    tokens
        Tokens that the caller has received or will receive in one piece.
    is_whole
        Whether the frame that ends the answer has come.
    """

    def __init__(self, spec: RequestSpec) -> None:
        self.tokens = 0
        self.is_whole = False
        self._sent = SentFrames() if spec.streaming and spec.kind.idempotent else None
        self._replay: Replay | None = None

    @property
    def can_be_replayed(self) -> bool:
        """Whether another run may go on with the answer."""
        return self._sent is not None

    @property
    def position(self) -> int:
        """The token from which the run in progress goes on."""
        return self._replay.position if self._replay else self.tokens

    def start_at(self, offset: int) -> None:
        """Count from ``offset`` on: another entry sent the frames before it."""
        self.tokens = offset
        self._sent = None

    def start_again(self) -> None:
        """Count anew an answer of which nothing has gone out."""
        self.tokens = 0

    def start_replay(self) -> None:
        """Compare the next run with what has gone out."""
        assert self._sent is not None
        self._replay = Replay(self._sent)

    def take(self, chunk: bytes) -> bytes:
        """Return what of a chunk the caller does not have yet, and count it.

        Raises ``ReplayMismatchError`` if another run gives another answer.
        """
        if self._replay is not None:
            chunk = self._replay.take(chunk)
            if self._replay.is_done:
                self._replay = None
        self._count(chunk)
        return chunk

    def _count(self, chunk: bytes) -> None:
        if self._sent is not None and chunk:
            self._sent.add(chunk)
        self.tokens += chunk.count(FRAME_END)
        if chunk.endswith(DONE_FRAME):
            self.tokens -= CLOSING_FRAMES
            self.is_whole = True
