"""JSON-lines logs through loguru.

Each line is one JSON object with the time, level, process, VM and message, and the fields that
the caller bound. Secrets are never bound.
"""

import json
import sys
from collections import Counter
from typing import TextIO

from loguru import logger

from pimentoquay.kernel.log_stream import LogStream
from pimentoquay.kernel.timeline import Event

__all__ = ["configure_logs", "log_event", "logger"]


LINES_PER_SECOND = 200
"""The most lines of one kind in a second; a VM at the size designed for ends 27 requests a second,
so only a storm of failures exceeds it."""


def configure_logs(
    process: str, vm: str, level: str = "INFO", stream: TextIO | LogStream | None = None
) -> None:
    """Send every log line of this process to a stream as JSON.

    Parameters
    ----------
    process
        The program's name.
    vm
        The VM's name.
    level
        The lowest level that is written.
    stream
        Standard error unless given.
    """
    bound = _LineBound()

    def write(message) -> None:
        record = message.record
        left_out = bound.admit(record["message"], record["time"].timestamp())
        if left_out is None:
            return
        if left_out:
            record["extra"]["left_out_before"] = left_out
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "process": process,
            "vm": vm,
            "message": record["message"],
            **{key: str(value) for key, value in record["extra"].items()},
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        (stream or sys.stderr).write(json.dumps(line) + "\n")

    logger.remove()
    logger.add(write, level=level, backtrace=False, diagnose=False)


class _LineBound:
    """Bounds the lines of each kind in a second, and counts those that are left out."""

    def __init__(self) -> None:
        self._second = 0
        self._count_by_message: Counter[str] = Counter()
        self._left_out_by_message: Counter[str] = Counter()

    def admit(self, message: str, now: float) -> int | None:
        """Return how many lines of a kind were left out before this one, ``None`` to leave it."""
        if int(now) != self._second:
            self._second = int(now)
            self._count_by_message.clear()
        self._count_by_message[message] += 1
        if self._count_by_message[message] > LINES_PER_SECOND:
            self._left_out_by_message[message] += 1
            return None
        return self._left_out_by_message.pop(message, 0)


def log_event(event: Event) -> None:
    """Write an event of the time line as a log line."""
    logger.bind(
        kind=event.kind,
        request=event.request_id,
        workspace=event.workspace,
        detail=event.detail,
        wall_us=event.stamp.wall_us,
        count=event.stamp.count,
    ).info("event")
