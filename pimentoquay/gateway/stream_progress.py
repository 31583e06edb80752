"""Progress of one stream over its runs at decode engines."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pimentoquay.gateway.events import StreamEvent
from pimentoquay.http1 import HeaderList, ServerState
from pimentoquay.policy.fleet import TokenMemory

__all__ = [
    "ErrorResponse",
    "RunEndedError",
    "StreamProgress",
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
    current run, ``engine`` its engine. ``has_unnumbered`` is whether pieces without an id were sent
    before the first event with one. ``software`` is the software version of the engine that
    began the stream, or empty if none has, ``run_software`` that of the current run.
    ``engines_without_events`` holds the ids of those that ended a run in order without an event.
    ``memory`` is that of the engines of its service, or None if they are those of a plain service.
    """

    last_event: int | None
    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    crashes: int = 0
    streamed_seconds: float = 0.0
    engine: str = ""
    has_unnumbered: bool = False
    software: str = ""
    run_software: str = ""
    error_response: ErrorResponse | None = None
    engines_without_events: set[str] = field(default_factory=set)
    memory: TokenMemory | None = None

    @property
    def can_go_on(self) -> bool:
        """Whether another run would send no event once more."""
        return self.last_event is not None or not self.has_unnumbered

    def record_sent(self, events: Iterable[StreamEvent]) -> None:
        """Record events that were passed to the caller."""
        for event in events:
            if event.id is not None:
                self.last_event = event.id
            elif self.last_event is None and event.is_piece:
                self.has_unnumbered = True


def output_tokens(progress: StreamProgress, memory: TokenMemory | None) -> int:
    """Return the number of tokens in the events sent to the caller; event ids start at 0.

    An event of a plain service, whose engines have no ``memory``, counts as one token.
    """
    if progress.last_event is None:
        return 0
    return (progress.last_event + 1) * (memory.event_tokens if memory is not None else 1)
