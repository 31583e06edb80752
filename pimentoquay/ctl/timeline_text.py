"""Time line events as lines of text."""

from datetime import UTC, datetime

from pimentoquay.messages.operator import TimelineEvent

__all__ = ["clock_time", "text_line"]


def clock_time(wall_us: int) -> str:
    """Return a stamp's time of day in UTC with milliseconds."""
    moment = datetime.fromtimestamp(wall_us / 1e6, UTC)
    return moment.strftime("%H:%M:%S.") + f"{moment.microsecond // 1000:03d}"


def text_line(event: TimelineEvent) -> str:
    """Return one event as one line."""
    where = f"{event.vm}/{event.process}"
    what = " ".join(item for item in (event.request_id, event.workspace, event.detail) if item)
    return (
        f"{clock_time(event.wall_us)}+{event.count:<3} {where:24} {event.kind:24} {what}".rstrip()
    )
