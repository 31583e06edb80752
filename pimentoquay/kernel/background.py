"""Tasks that run in the background of a component."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Holds running tasks, and drops them when they end.

    The error of a task counts only for who waits for it.

    Example
    -------
    ::

        task = background.start(probe(engine))
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task and return it."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def cancel(self) -> None:
        """Cancel all tasks that run."""
        for task in tuple(self._tasks):
            task.cancel()

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()
