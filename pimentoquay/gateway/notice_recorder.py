"""What an engine says about itself in its responses, recorded for all that use it."""

import asyncio
from collections.abc import Callable

from pimentoquay.http1 import HeaderList
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.responses import EngineNotice, parse_notice
from pimentoquay.policy.engine_limits import EngineLimits, LimitNotice
from pimentoquay.policy.engine_notices import EngineNotices, EngineStart
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["NoticeRecorder"]


class NoticeRecorder:
    """Records that one engine leaves, has paused, or names a limit.

    Parameters
    ----------
    entry
        The engine.
    notices, limits
        What engines have said, which is updated.
    on_leaving, on_limit
        Called when the engine says for the first time that it leaves, or names another limit.
    """

    def __init__(
        self,
        entry: EngineEntry,
        notices: EngineNotices,
        limits: EngineLimits,
        on_leaving: Callable[[EngineStart], None],
        on_limit: Callable[[LimitNotice], None],
    ) -> None:
        self._entry = entry
        self._notices = notices
        self._limits = limits
        self._on_leaving = on_leaving
        self._on_limit = on_limit

    def record(self, status: int, headers: HeaderList, sent_at: float | None = None) -> None:
        """Record what a response says about the engine.

        Only a response to a request, sent at ``sent_at``, shows that the engine names no limit.
        """
        start, now = self._entry.start, asyncio.get_running_loop().time()
        notice = parse_notice(start.id, status, headers)
        if notice.is_leaving and self._notices.record_leaving((start,), now):
            logger.bind(engine=start.id, incarnation=start.incarnation).info("engine is leaving")
            self._on_leaving(start)
        if notice.pause_seconds is not None:
            self._notices.record_pause(start, notice.pause_seconds, now)
            logger.bind(engine=start.id, seconds=notice.pause_seconds).info("engine paused")
        self._record_limit(notice, sent_at, now)

    def _record_limit(self, notice: EngineNotice, sent_at: float | None, now: float) -> None:
        """Record the limit that a response names, or that it names none; a garbled one is ignored.

        The engine still needs a limit then, so the one before stays in force.
        """
        if notice.names_limit and notice.limit is None:
            logger.bind(engine=self._entry.id).warning("invalid limit ignored")
            return
        if notice.limit is None and (sent_at is None or notice.is_of_other):
            return
        changed = self._limits.record_response(
            self._entry.start, notice.limit, sent_at if sent_at is not None else now, now
        )
        if changed is not None:
            self._on_limit(changed)
