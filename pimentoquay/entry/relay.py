"""Responses that end their work as soon as the caller is gone.

``StreamedAnswer`` copies an engine's frames to the caller; for each token it does nothing else.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from pimentoquay.entry.answers import error_event, error_response
from pimentoquay.kernel import PimentoquayError

__all__ = ["StreamedAnswer", "WatchedAnswer"]

_Headers = list[tuple[bytes, bytes]]


class WatchedAnswer(Response):
    """The response that ``make`` returns; ``make`` is cancelled when the caller disconnects."""

    def __init__(self, make: Callable[[], Awaitable[Response]]) -> None:
        self._make = make

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, as ASGI has it."""
        await _until_disconnect(self._answer(scope, receive, send), receive)

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        response = await self._make()
        await response(scope, receive, send)


class StreamedAnswer(Response):
    """Server-sent events copied from an engine.

    Parameters
    ----------
    frames
        The answer; an error before its first item is sent as an ordinary HTTP error, a later
        one as an event.
    request_id
        The caller's request id.
    """

    def __init__(self, frames: AsyncIterator[bytes], request_id: str) -> None:
        self._frames = frames
        self._request_id = request_id

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, as ASGI has it."""
        await _until_disconnect(self._relay(scope, receive, send), receive)

    async def _relay(self, scope: Scope, receive: Receive, send: Send) -> None:
        async with aclosing(self._frames) as frames:  # type: ignore[type-var]
            try:
                first = await anext(frames)
            except PimentoquayError as error:
                await error_response(error, self._request_id)(scope, receive, send)
                return
            await send(
                {"type": "http.response.start", "status": 200, "headers": self._start_headers()}
            )
            await send(_body(first))
            try:
                async for chunk in frames:
                    await send({"type": "http.response.body", "body": chunk, "more_body": True})
            except PimentoquayError as error:
                await send(_body(error_event(error)))
            await send({"type": "http.response.body", "body": b"", "more_body": False})

    def _start_headers(self) -> _Headers:
        return [
            (b"content-type", b"text/event-stream; charset=utf-8"),
            (b"cache-control", b"no-cache"),
            (b"x-request-id", self._request_id.encode()),
        ]


def _body(chunk: bytes) -> dict[str, object]:
    return {"type": "http.response.body", "body": chunk, "more_body": True}


async def _until_disconnect(answer: Awaitable[None], receive: Receive) -> None:
    """Await an answer; cancel it when the caller goes away first."""
    work = asyncio.ensure_future(answer)
    watch = asyncio.ensure_future(_disconnected(receive))
    try:
        await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            await asyncio.wait({work})
        elif work.exception() is not None:
            raise work.exception()  # type: ignore[misc]
    finally:
        work.cancel()
        watch.cancel()


async def _disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
