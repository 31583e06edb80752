"""Ask an engine whether it has started anew before a stream begins or goes on there.

An engine that starts again under its id may do so at another software version, and takes requests
before its entry is read.
"""

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import RunEndedError
from pimentoquay.kernel.errors import HttpError
from pimentoquay.policy.fleet import EngineEntry, unstated_version

__all__ = ["version_at"]


async def version_at(
    shared: SharedState, job: Job, engine: EngineEntry, link: EngineLink, software: str
) -> str:
    """Return the software version of an engine, by which a stream there is to be known.

    A new stream may begin at an engine that has started anew. It is known by a name for that start
    until the entry is read. Raise ``RunEndedError`` if a stream may not go on there.

    Parameters
    ----------
    shared
        State that the components share.
    job
        The request.
    engine, link
        The engine, and its client.
    software
        Version that began the stream, or empty if none has.
    """
    if not software and not job.route.is_resumable:
        return engine.software_version
    try:
        start = await link.newer_start()
    except HttpError as error:
        detail = f"the engine does not say when it started: {error}"
        raise RunEndedError(detail, has_run=False, has_arrived=False) from None
    if start is None:
        return engine.software_version
    if not software:
        return unstated_version(start)
    shared.mark_misdirected(engine)
    raise RunEndedError("the engine has started anew", has_run=False, has_arrived=False)
