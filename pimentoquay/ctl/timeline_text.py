"""Formatting of time line events as lines of text."""

from datetime import UTC, datetime

from pimentoquay.messages.operator import TimelineEvent

__all__ = ["format_event", "format_time"]


def format_time(wall_us: int) -> str:
    """Return the UTC time of day of ``wall_us``, microseconds since the epoch, to milliseconds."""
    utc_time = datetime.fromtimestamp(wall_us / 1e6, UTC)
    return utc_time.strftime("%H:%M:%S.") + f"{utc_time.microsecond // 1000:03d}"


def format_event(event: TimelineEvent) -> str:
    """Return an event as a line of text."""
    process_name = f"{event.vm}/{event.process}"
    details = " ".join(item for item in (event.request_id, event.workspace, event.detail) if item)
    return (
        f"{format_time(event.wall_us)}+{event.count:<3} "
        f"{process_name:24} {event.kind:24} {details}".rstrip()
    )
