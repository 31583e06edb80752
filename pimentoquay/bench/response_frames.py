"""Parsing of streamed responses: server-sent event frames with completion chunks."""

import json

__all__ = ["DONE_FRAME", "text_of_frames"]

DONE_FRAME = b"data: [DONE]\n\n"
"""Last frame of a complete response."""


def text_of_frames(frames: bytes) -> str:
    """Return the text in the frames of a response, of chat completions or plain completions."""
    parts = []
    for frame in frames.split(b"\n\n"):
        if not frame.startswith(b"data: ") or frame == DONE_FRAME.rstrip():
            continue
        for choice in json.loads(frame[len(b"data: ") :])["choices"]:
            content = choice["delta"].get("content") if "delta" in choice else choice.get("text")
            parts.append(content or "")
    return "".join(parts)
