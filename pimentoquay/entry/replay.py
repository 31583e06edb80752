"""Continuation of a stream after its engine was lost, by running the request again.

The frames of the new run are compared one by one with the frames that the caller has received.
Only later frames are sent, and only if all earlier ones were equal. If a frame differs, the stream
ends with an error, because the caller would otherwise receive a mixture of two answers. Frames are
parsed only after an engine was lost.
"""

import json
from typing import Any

from pimentoquay.kernel import PimentoquayError, ResultCode

__all__ = ["Replay", "ReplayMismatchError", "SentFrames"]

_FRAME_END = b"\n\n"
_DATA = b"data: "


class ReplayMismatchError(PimentoquayError):
    """A repeated run produced a frame that differs from the one already sent."""

    def __init__(self, position: int) -> None:
        detail = f"another run of the request differs at frame {position}"
        super().__init__(ResultCode.STREAM_BROKEN, detail)


class SentFrames:
    """The frames that a caller has received, unparsed."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    def add(self, chunk: bytes) -> None:
        """Append a chunk that holds one or more complete frames."""
        self._chunks.append(chunk)

    def frames(self) -> list[bytes]:
        """Return all frames as a list, without their separators."""
        return _split_frames(b"".join(self._chunks))


class Replay:
    """Filter that removes the frames already sent from the output of a new run.

    Parameters
    ----------
    sent
        The frames that the caller has received.

    Attributes
    ----------
    position
        Number of frames of the new run that were equal to the frames sent.
    """

    def __init__(self, sent: SentFrames) -> None:
        self._expected = sent.frames()
        self.position = 0

    @property
    def is_done(self) -> bool:
        """Whether the new run has repeated every frame that was sent."""
        return self.position == len(self._expected)

    def skip_sent(self, chunk: bytes) -> bytes:
        """Return the frames of a chunk that follow those already sent.

        Raises
        ------
        ReplayMismatchError
            If a frame differs from the one that was sent.
        """
        frames = _split_frames(chunk)
        for index, frame in enumerate(frames):
            if self.is_done:
                return _FRAME_END.join(frames[index:]) + _FRAME_END
            if _comparable_content(frame) != _comparable_content(self._expected[self.position]):
                raise ReplayMismatchError(self.position)
            self.position += 1
        return b""


def _split_frames(frames: bytes) -> list[bytes]:
    return [frame for frame in frames.split(_FRAME_END) if frame]


def _comparable_content(frame: bytes) -> Any:
    """Return the choices of a frame, without its id and creation time, which vary between runs."""
    if not frame.startswith(_DATA):
        return frame
    try:
        return json.loads(frame[len(_DATA) :])["choices"]
    except (ValueError, TypeError, KeyError):
        return frame
