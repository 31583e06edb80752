"""Progress of one stream over its runs at decode engines, and the reading of its events."""

import asyncio
from dataclasses import dataclass

from pimentoquay.gateway.events import EventSplitter, StreamEvent
from pimentoquay.http1 import Exchange, HeaderList, ServerState
from pimentoquay.kernel.errors import HttpError
from pimentoquay.policy.fleet import TokenMemory

__all__ = [
    "ErrorResponse",
    "RunEndedError",
    "StreamProgress",
    "check_event_order",
    "check_stream_end",
    "next_events",
    "output_tokens",
]


class RunEndedError(Exception):
    """A run ended before its response was complete.

    ``has_run`` is false only if the engine provably ran nothing, ``has_arrived`` only if no byte
    of the request was sent. ``engine_state`` is what a new connection showed afterwards, or None if
    none was tried.
    """

    def __init__(
        self,
        detail: str,
        has_run: bool,
        has_arrived: bool = True,
        engine_state: ServerState | None = None,
    ) -> None:
        super().__init__(detail)
        self.has_run = has_run
        self.has_arrived = has_arrived
        self.engine_state = engine_state


@dataclass(frozen=True)
class ErrorResponse:
    """A complete error response that an engine itself sent."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass
class StreamProgress:
    """Progress of one request over all its runs.

    ``last_event`` is the id of the last event sent to the caller, ``arrivals`` counts the sends
    that may have reached an engine, ``runs`` those that it may have run, ``crashes`` those under
    which it crashed. ``streamed_seconds`` is the time from the first to the last event of the
    current run, ``engine`` its engine. ``software`` is the software version of the engine that
    began the stream, or empty if none has.
    """

    last_event: int | None
    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    crashes: int = 0
    streamed_seconds: float = 0.0
    engine: str = ""
    software: str = ""
    error_response: ErrorResponse | None = None


async def next_events(
    exchange: Exchange, splitter: EventSplitter, silence_timeout: float | None
) -> list[StreamEvent]:
    """Return the next complete events, or none at the end of the stream.

    Only complete events end a silence: a stalled engine may send a few bytes of one now and then.
    """
    loop = asyncio.get_running_loop()
    since, left = loop.time(), silence_timeout
    while (chunk := await exchange.read_chunk(left)) is not None:
        events = splitter.feed(chunk)
        if events:
            return events
        if silence_timeout is not None:
            left = max(0.0, since + silence_timeout - loop.time())
    return []


def output_tokens(progress: StreamProgress, memory: TokenMemory) -> int:
    """Return the number of tokens in the events sent to the caller; event ids start at 0."""
    if progress.last_event is None:
        return 0
    return (progress.last_event + 1) * memory.event_tokens


def check_event_order(events: list[StreamEvent], progress: StreamProgress) -> None:
    """Record the ids of events; raise ``RunEndedError`` if one is missing or comes twice."""
    for event in events:
        if event.id is None:
            continue
        last = progress.last_event
        if last is not None and event.id != last + 1:
            raise RunEndedError(f"event {event.id} came after {last}", True)
        progress.last_event = event.id


def check_stream_end(exchange: Exchange, splitter: EventSplitter, progress: StreamProgress) -> None:
    """Raise ``RunEndedError`` or ``HttpError`` if a stream that has ended was broken off."""
    if splitter.remainder:
        raise RunEndedError("stream ended within an event", True)
    if exchange.is_unframed and progress.last_event is None:
        # The end of the connection marks the end of the stream, also when the engine has crashed.
        raise HttpError("stream ended before its first event", True, connection_lost=True)
