"""Token usage as the last event of a stream.

OpenAI-style clients request it with ``"stream_options": {"include_usage": true}``. Only such
streams are kept in memory until they end; all others are relayed without being stored.
"""

import json
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import Any

from pimentoquay.entry.request import RequestSpec
from pimentoquay.entry.response_bodies import completion_body

__all__ = ["with_usage"]

DONE_EVENT = b"data: [DONE]"


async def with_usage(
    frames: AsyncIterator[bytes], spec: RequestSpec, offset: int = 0
) -> AsyncGenerator[bytes, None]:
    """Relay an answer and insert an event with the token usage before ``[DONE]``.

    Parameters
    ----------
    frames
        The answer in server-sent events; chunks may end inside an event.
    spec
        The request.
    offset
        Number of tokens that the caller received before this stream, which count as used.
    """
    answer = bytearray()
    pending = b""
    async with aclosing(frames) as chunks:  # type: ignore[type-var]
        async for chunk in chunks:
            # Only complete events are passed on, so that [DONE] is never split between chunks.
            ready, separator, pending = (pending + chunk).rpartition(b"\n\n")
            events = ready + separator
            answer += events
            before, done, after = events.partition(DONE_EVENT)
            if done:
                events = before + _usage_event(bytes(answer), spec, offset) + done + after
            if events:
                yield events
    if pending:
        yield pending


def _usage_event(answer: bytes, spec: RequestSpec, offset: int) -> bytes:
    completion: dict[str, Any] = completion_body(answer, spec)
    usage = completion["usage"]
    usage["completion_tokens"] += offset
    usage["total_tokens"] += offset
    event = {
        "id": completion["id"],
        "object": "chat.completion.chunk" if spec.chat else "text_completion",
        "created": completion["created"],
        "model": spec.model,
        "choices": [],
        "usage": usage,
    }
    return b"data: " + json.dumps(event, separators=(",", ":")).encode() + b"\n\n"
