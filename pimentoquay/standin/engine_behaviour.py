"""Responses of the stand-in for an engine, by which a test causes a fault for one request."""

from enum import Enum

__all__ = ["UNFRAMED", "Behaviour"]


class Behaviour(Enum):
    """Response of the stand-in to a request; the value of each member describes it."""

    SERVE = "serve"
    SHED = "refuse with the proof that nothing ran"
    MISDIRECTED = "refuse as an engine of another stage or another start"
    FAIL = "run and answer 500"
    RESET = "run and reset the connection"
    MUTE = "run and never answer"
    BREAK = "stream three events, then reset the connection"
    HALF_EVENT = "stream two events and a half, then end the connection"
    UNFRAMED = "answer without a length or chunks, and end the connection"
    UNFRAMED_HALF_EVENT = "the same, but end the connection within the third event"
    UNFRAMED_EMPTY = "the same, but end the connection after the head"
    UNFRAMED_RESET = "the same, but reset the connection after the third event"
    UNFRAMED_CRASH = "the same, but crash after the head"
    UNSIGNED = "run and answer without a signature"
    ENCODED = "run and answer with an encoded body"


UNFRAMED = (
    Behaviour.UNFRAMED,
    Behaviour.UNFRAMED_HALF_EVENT,
    Behaviour.UNFRAMED_EMPTY,
    Behaviour.UNFRAMED_RESET,
    Behaviour.UNFRAMED_CRASH,
)
"""Responses without a length or chunks, which end with the connection."""
