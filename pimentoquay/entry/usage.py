"""The last event of a stream whose caller asked how many tokens it used.

OpenAI-style clients ask with ``"stream_options": {"include_usage": true}``. Only these streams
are kept until their end; all others are copied and forgotten.
"""

import json
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import Any

from pimentoquay.entry.answers import whole_answer
from pimentoquay.entry.request import RequestSpec

__all__ = ["with_usage"]

DONE = b"data: [DONE]"


async def with_usage(
    frames: AsyncIterator[bytes], spec: RequestSpec, offset: int = 0
) -> AsyncGenerator[bytes, None]:
    """Copy an answer; put the tokens used, ``offset`` earlier ones included, before its end."""
    answer = bytearray()
    held = b""
    async with aclosing(frames) as chunks:  # type: ignore[type-var]
        async for chunk in chunks:
            # Only whole events go on, so that the mark of the end is seen in one piece.
            ready, separator, held = (held + chunk).rpartition(b"\n\n")
            events = ready + separator
            answer += events
            before, mark, after = events.partition(DONE)
            if mark:
                events = before + _usage_event(bytes(answer), spec, offset) + mark + after
            if events:
                yield events
    if held:
        yield held


def _usage_event(answer: bytes, spec: RequestSpec, offset: int) -> bytes:
    whole: dict[str, Any] = whole_answer(answer, spec)
    usage = whole["usage"]
    usage["completion_tokens"] += offset
    usage["total_tokens"] += offset
    event = {
        "id": whole["id"],
        "object": "chat.completion.chunk" if spec.chat else "text_completion",
        "created": whole["created"],
        "model": spec.model,
        "choices": [],
        "usage": usage,
    }
    return b"data: " + json.dumps(event, separators=(",", ":")).encode() + b"\n\n"
