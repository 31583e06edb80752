"""Reading of the events of one run: whole ones, in order."""

import asyncio

from pimentoquay.gateway.events import EventSplitter, StreamEvent
from pimentoquay.gateway.stream_progress import RunEndedError
from pimentoquay.http1 import Exchange
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.turns import ITEMS_PER_TURN

__all__ = ["EventReader"]


class EventReader:
    """Reads the events of a run up to the first that is missing, comes twice or has lost its id.

    An event with lines that cannot stand in one, such as the head of another response, is wrong as
    well. Events that arrived together with a wrong one are returned first, and the next call fails.
    Of many events that arrived together, as many are returned at once as one turn allows.
    ``has_read_events`` is whether there was any event so far.

    Parameters
    ----------
    exchange
        The exchange whose response is the stream.
    last_event
        Id of the event after which the run goes on, or None if it begins the stream.
    silence_timeout
        Time without a complete event, in seconds, after which the run counts as failed, or None.
    is_resumable
        Whether another run may go on with the stream; a piece without an id would come twice then.
    """

    def __init__(
        self,
        exchange: Exchange,
        last_event: int | None,
        silence_timeout: float | None,
        is_resumable: bool,
    ) -> None:
        self._exchange = exchange
        self._last_event = last_event
        self._silence_timeout = silence_timeout
        self._is_resumable = is_resumable
        self._splitter = EventSplitter()
        self._fault: RunEndedError | None = None
        self._may_have_more = False
        self.has_read_events = False

    async def next_events(self) -> list[StreamEvent]:
        """Return the next complete events, or none at the end of the stream.

        Only complete events end a silence: a stalled engine may send a few bytes of one now and
        then.

        Raises
        ------
        RunEndedError
            If the next event is not the one that follows or is none, or the stream ended within an
            event.
        HttpError
            If the exchange fails, or is silent for too long.
        """
        if self._fault is not None:
            raise self._fault
        loop = asyncio.get_running_loop()
        since, left = loop.time(), self._silence_timeout
        while (chunk := await self._next_chunk(left)) is not None:
            events = self._splitter.feed(chunk, ITEMS_PER_TURN)
            self._may_have_more = len(events) == ITEMS_PER_TURN
            events = self._take_sound(events)
            if events:
                self.has_read_events = True
                return events
            if self._fault is not None:
                raise self._fault
            if self._silence_timeout is not None:
                left = max(0.0, since + self._silence_timeout - loop.time())
        self._check_end()
        return []

    async def _next_chunk(self, seconds: float | None) -> bytes | None:
        """Wait for the next bytes, or for a turn if more events may be complete already."""
        if not self._may_have_more:
            return await self._exchange.read_chunk(seconds)
        await self._exchange.wait_for_turn()
        return b""

    def _take_sound(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events before the first wrong one, which ends the run."""
        for index, event in enumerate(events):
            last = self._last_event
            if event.has_foreign_lines:
                self._fault = RunEndedError(f"no event came after {last}", True)
                return events[:index]
            if event.id is None and not (self._is_resumable and event.is_piece):
                continue
            if last is not None and event.id != last + 1:
                self._fault = RunEndedError(f"event {event.id} came after {last}", True)
                return events[:index]
            if event.id is not None:
                self._last_event = event.id
        return events

    def _check_end(self) -> None:
        if self._splitter.remainder:
            raise RunEndedError("stream ended within an event", True)
        if self._exchange.is_unframed and not self.has_read_events:
            # The end of the connection marks the end of the stream, also when the engine has
            # crashed.
            raise HttpError("stream ended before its first event", True, connection_lost=True)
