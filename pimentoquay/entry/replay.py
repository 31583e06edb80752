"""Going on with a streamed answer whose engine was lost, by another run of the same request.

What the caller has already received is compared with what the new run gives, frame by frame. Only
frames after it go out, and only while every earlier one was the same; a run that differs ends the
stream instead of mixing two answers. Nothing is parsed until an engine is lost.
"""

import json
from typing import Any

from pimentoquay.kernel import PimentoquayError, ResultCode

__all__ = ["Replay", "ReplayMismatchError", "SentFrames"]

_FRAME_END = b"\n\n"
_DATA = b"data: "


class ReplayMismatchError(PimentoquayError):
    """Another run of the request gave another answer."""

    def __init__(self, position: int) -> None:
        detail = f"another run of the request differs at frame {position}"
        super().__init__(ResultCode.STREAM_BROKEN, detail)


class SentFrames:
    """The frames that a caller has received, as they were sent."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    def add(self, chunk: bytes) -> None:
        """Remember whole frames."""
        self._chunks.append(chunk)

    def frames(self) -> list[bytes]:
        """Return the frames one by one."""
        return _split(b"".join(self._chunks))


class Replay:
    """Leaves out of a new run's frames those that the caller has.

    Parameters
    ----------
    sent
        What the caller has received.

    Attributes
    ----------
    position
        Frames of the new run that were the same as those sent.
    """

    def __init__(self, sent: SentFrames) -> None:
        self._expected = sent.frames()
        self.position = 0

    @property
    def is_done(self) -> bool:
        """Whether the new run has reached the end of what was sent."""
        return self.position == len(self._expected)

    def take(self, chunk: bytes) -> bytes:
        """Return the frames of a chunk that are new to the caller.

        Raises ``ReplayMismatchError`` if a frame differs from the one that was sent.
        """
        frames = _split(chunk)
        for index, frame in enumerate(frames):
            if self.is_done:
                return _FRAME_END.join(frames[index:]) + _FRAME_END
            if _content(frame) != _content(self._expected[self.position]):
                raise ReplayMismatchError(self.position)
            self.position += 1
        return b""


def _split(frames: bytes) -> list[bytes]:
    return [frame for frame in frames.split(_FRAME_END) if frame]


def _content(frame: bytes) -> Any:
    """Return what a frame says, without the time at which it was made."""
    if not frame.startswith(_DATA):
        return frame
    try:
        return json.loads(frame[len(_DATA) :])["choices"]
    except (ValueError, TypeError, KeyError):
        return frame
