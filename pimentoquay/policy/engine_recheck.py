"""Whether an engine that was chosen before a wait may still be sent the request after it.

Load pattern: streams that wait for seconds between the choice of their decode engine and the send,
for a prefill at a slow engine, a connection or a permit, while a release replaces the engines one
after the other. An engine that says that it leaves serves for some seconds more, and cuts what
still runs then.
"""

from pimentoquay.policy.engine_notices import EngineNotices
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["takes_work"]


def takes_work(chosen: EngineEntry, listed: EngineEntry | None, notices: EngineNotices) -> bool:
    """Return whether an engine still takes work.

    Parameters
    ----------
    chosen, listed
        Its entry when it was chosen, and the one that is listed under its id now, if any.
    notices
        What engines have said about themselves.

    Example
    -------
    >>> engine = EngineEntry("dec-1", "llm", "10.0.0.1:80", "hall", False, 64)
    >>> takes_work(engine, engine, EngineNotices()), takes_work(engine, None, EngineNotices())
    (True, False)
    """
    return (
        listed is not None
        and listed.start == chosen.start
        and not listed.is_draining
        and not notices.is_leaving(listed.start)
    )
