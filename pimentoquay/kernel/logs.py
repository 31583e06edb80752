"""JSON-lines logs through loguru.

Each line is one JSON object with the time, level, process, VM and message, and the fields that
the caller bound. Secrets are never bound.
"""

import json
import sys
from typing import TextIO

from loguru import logger

from pimentoquay.kernel.timeline import Event

__all__ = ["configure_logs", "log_event", "logger"]


def configure_logs(process: str, vm: str, level: str = "INFO", stream: TextIO = sys.stderr) -> None:
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

    def write(message) -> None:
        record = message.record
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
        stream.write(json.dumps(line) + "\n")

    logger.remove()
    logger.add(write, level=level, backtrace=False, diagnose=False)


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
