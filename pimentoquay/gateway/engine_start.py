"""Check that an engine has not started anew before a stream goes on there."""

from pimentoquay.gateway.reservation import Reservation
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import RunEndedError
from pimentoquay.kernel.errors import HttpError

__all__ = ["check_start"]


async def check_start(shared: SharedState, reservation: Reservation, software: str) -> None:
    """Raise ``RunEndedError`` if the engine may be of another version than its entry says.

    An engine that starts again under its id may do so at another version, and takes requests before
    its entry is read.

    Parameters
    ----------
    shared
        State that the components share.
    reservation
        Memory of the engine.
    software
        Version that began the stream, or empty if none has.
    """
    if not software:
        return
    engine = reservation.engine
    try:
        if not await reservation.link.has_started_anew():
            return
    except HttpError as error:
        detail = f"the engine does not say when it started: {error}"
        raise RunEndedError(detail, has_run=False, has_arrived=False) from None
    shared.mark_misdirected(engine)
    raise RunEndedError("the engine has started anew", has_run=False, has_arrived=False)
