"""Logging in JSON lines with loguru.

Each line is a JSON object with the time, level, process, VM, message and the fields that the caller
bound to the logger. Secrets must never be bound.
"""

import json
import sys
from collections import Counter
from typing import TextIO

from loguru import logger

from pimentoquay.kernel.log_stream import LogStream
from pimentoquay.kernel.timeline import Event

__all__ = ["configure_logs", "log_event", "logger"]


MAX_LINES_PER_SECOND = 200
"""Maximum number of log lines with the same message per second.

At the design load a VM ends 27 requests per second, so only mass failures reach this limit.
"""


def configure_logs(
    process: str, vm: str, level: str = "INFO", stream: TextIO | LogStream | None = None
) -> None:
    """Configure the logger to write JSON lines to a stream.

    Parameters
    ----------
    process
        Name of the program.
    vm
        Name of the VM.
    level
        Lowest level that is written.
    stream
        Stream to write to; standard error if omitted.
    """
    limiter = _LineRateLimiter()

    def write(message) -> None:
        record = message.record
        suppressed = limiter.admit(record["message"], record["time"].timestamp())
        if suppressed is None:
            return
        if suppressed:
            record["extra"]["left_out_before"] = suppressed
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


class _LineRateLimiter:
    """Rate limit per log message, with a count of the suppressed lines."""

    def __init__(self) -> None:
        self._second = 0
        self._count_by_message: Counter[str] = Counter()
        self._suppressed_by_message: Counter[str] = Counter()

    def admit(self, message: str, now: float) -> int | None:
        """Return the number of lines suppressed before this one, or ``None`` to suppress it too.

        Parameters
        ----------
        message
            Message of the line; the limit applies to each message separately.
        now
            Current time in seconds.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._count_by_message.clear()
        self._count_by_message[message] += 1
        if self._count_by_message[message] > MAX_LINES_PER_SECOND:
            self._suppressed_by_message[message] += 1
            return None
        return self._suppressed_by_message.pop(message, 0)


def log_event(event: Event) -> None:
    """Write a time line event as a log line."""
    logger.bind(
        kind=event.kind,
        request=event.request_id,
        workspace=event.workspace,
        detail=event.detail,
        wall_us=event.stamp.wall_us,
        count=event.stamp.count,
    ).info("event")
