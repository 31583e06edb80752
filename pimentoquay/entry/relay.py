"""HTTP responses that stop their work as soon as the caller disconnects.

``StreamedResponse`` passes an engine's frames on unchanged, with no other work per token.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from pimentoquay.entry.response_bodies import error_event, error_response
from pimentoquay.kernel import PimentoquayError

__all__ = ["CancellableResponse", "StreamedResponse"]

_Headers = list[tuple[bytes, bytes]]


class CancellableResponse(Response):
    """The response returned by ``make_response``, which is cancelled if the caller disconnects."""

    def __init__(self, make_response: Callable[[], Awaitable[Response]]) -> None:
        self._make_response = make_response

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response; called by the ASGI server."""
        await _run_until_disconnect(self._answer(scope, receive, send), receive)

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        response = await self._make_response()
        await response(scope, receive, send)


class StreamedResponse(Response):
    """Response with server-sent events from an engine.

    Parameters
    ----------
    frames
        Frames of the answer. An error raised before the first item becomes an ordinary HTTP error
        response, a later one an event.
    request_id
        The request id of the caller.
    """

    def __init__(self, frames: AsyncIterator[bytes], request_id: str) -> None:
        self._frames = frames
        self._request_id = request_id

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response; called by the ASGI server."""
        await _run_until_disconnect(self._relay(scope, receive, send), receive)

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
            await send(_body_message(first))
            try:
                async for chunk in frames:
                    await send({"type": "http.response.body", "body": chunk, "more_body": True})
            except PimentoquayError as error:
                await send(_body_message(error_event(error)))
            await send({"type": "http.response.body", "body": b"", "more_body": False})

    def _start_headers(self) -> _Headers:
        return [
            (b"content-type", b"text/event-stream; charset=utf-8"),
            (b"cache-control", b"no-cache"),
            (b"x-request-id", self._request_id.encode()),
        ]


def _body_message(chunk: bytes) -> dict[str, object]:
    return {"type": "http.response.body", "body": chunk, "more_body": True}


async def _run_until_disconnect(answer: Awaitable[None], receive: Receive) -> None:
    """Await a response; cancel it if the caller disconnects before it is finished."""
    response_task = asyncio.ensure_future(answer)
    disconnect_task = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait({response_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
        if not response_task.done():
            response_task.cancel()
            await asyncio.wait({response_task})
        elif response_task.exception() is not None:
            raise response_task.exception()  # type: ignore[misc]
    finally:
        response_task.cancel()
        disconnect_task.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
