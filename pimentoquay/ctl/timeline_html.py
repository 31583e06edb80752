"""Diagram of time line events: an HTML page with an SVG that has a lane for each process.

The stages of each request at its entry are drawn as bars from one event to the next. Every event is
also drawn as a dot whose title is the text of the event.
"""

from collections.abc import Sequence
from html import escape

from pimentoquay.ctl.timeline_text import format_event
from pimentoquay.messages.operator import TimelineEvent

__all__ = ["STAGE_KINDS", "render_html"]

STAGE_KINDS = ("received", "placed", "prefill", "transfer", "decode", "first-token")
"""Kinds of events that start a stage of a request; the request's next event ends the stage."""

_COLOUR_BY_KIND = {
    "received": "#c9c9c9",
    "placed": "#a8c5da",
    "prefill": "#e0a458",
    "transfer": "#8d6a9f",
    "decode": "#d5a6a0",
    "first-token": "#5a9367",
}
_NAME_BY_KIND = {"received": "queue", "placed": "placed", "first-token": "answer"}
_LABEL_WIDTH = 220
_CHART_WIDTH = 900
_LANE_HEIGHT = 34
_BAR_HEIGHT = 14


def render_html(title: str, events: Sequence[TimelineEvent]) -> str:
    """Return a self-contained HTML page.

    Parameters
    ----------
    title
        Title of the page.
    events
        Events in causal order.
    """
    lanes = sorted({(event.vm, event.process) for event in events})
    row_by_lane = {lane: row for row, lane in enumerate(lanes)}
    first = min((event.wall_us for event in events), default=0)
    last = max((event.wall_us for event in events), default=1)
    scale = _CHART_WIDTH / max(1, last - first)
    shapes = [_lane_label(row, lane) for lane, row in row_by_lane.items()]
    for start, end in _stages(events):
        row = row_by_lane[start.vm, start.process]
        shapes.append(
            _bar(row, start, (start.wall_us - first) * scale, _bar_width(start, end, scale))
        )
    for event in events:
        row = row_by_lane[event.vm, event.process]
        shapes.append(_dot(row, event, (event.wall_us - first) * scale))
    height = _LANE_HEIGHT * max(1, len(lanes)) + 40
    shapes.append(_axis(height, (last - first) / 1000))
    return _PAGE.format(
        title=escape(title),
        width=_LABEL_WIDTH + _CHART_WIDTH + 40,
        height=height,
        shapes="\n".join(shapes),
        legend=" ".join(_legend()),
        lines=escape("\n".join(format_event(event) for event in events)),
    )


def _stages(
    events: Sequence[TimelineEvent],
) -> list[tuple[TimelineEvent, TimelineEvent]]:
    open_by_request: dict[tuple[str, str, str], TimelineEvent] = {}
    stages = []
    for event in events:
        key = (event.vm, event.process, event.request_id)
        started = open_by_request.pop(key, None)
        if started is not None:
            stages.append((started, event))
        if event.request_id and event.kind in STAGE_KINDS:
            open_by_request[key] = event
    return stages


def _bar_width(start: TimelineEvent, end: TimelineEvent, scale: float) -> float:
    return max(1.0, (end.wall_us - start.wall_us) * scale)


def _lane_label(row: int, lane: tuple[str, str]) -> str:
    y = row * _LANE_HEIGHT + _LANE_HEIGHT / 2 + 4
    return f'<text x="4" y="{y:.0f}">{escape("/".join(lane))}</text>'


def _bar(row: int, start: TimelineEvent, x: float, width: float) -> str:
    y = row * _LANE_HEIGHT + (_LANE_HEIGHT - _BAR_HEIGHT) / 2
    colour = _COLOUR_BY_KIND[start.kind]
    name = _NAME_BY_KIND.get(start.kind, start.kind)
    title = escape(f"{name}: {format_event(start)}")
    return (
        f'<rect x="{_LABEL_WIDTH + x:.1f}" y="{y:.0f}" width="{width:.1f}" height="{_BAR_HEIGHT}" '
        f'fill="{colour}"><title>{title}</title></rect>'
    )


def _dot(row: int, event: TimelineEvent, x: float) -> str:
    y = row * _LANE_HEIGHT + _LANE_HEIGHT / 2
    title = escape(format_event(event))
    return f'<circle cx="{_LABEL_WIDTH + x:.1f}" cy="{y:.0f}" r="3"><title>{title}</title></circle>'


def _axis(height: int, span_ms: float) -> str:
    y = height - 12
    return (
        f'<line x1="{_LABEL_WIDTH}" y1="{y - 14}" x2="{_LABEL_WIDTH + _CHART_WIDTH}" '
        f'y2="{y - 14}" stroke="#888"/>'
        f'<text x="{_LABEL_WIDTH}" y="{y}">0 ms</text>'
        f'<text x="{_LABEL_WIDTH + _CHART_WIDTH - 60}" y="{y}">{span_ms:.1f} ms</text>'
    )


def _legend() -> list[str]:
    return [
        f'<span style="background:{colour}">&nbsp;{_NAME_BY_KIND.get(kind, kind)}&nbsp;</span>'
        for kind, colour in _COLOUR_BY_KIND.items()
    ]


_PAGE = """<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>{title}</title>
<style>body {{ font-family: sans-serif; }} svg text {{ font-size: 12px; }}
pre {{ font-size: 12px; }}</style></head>
<body>
<h1>{title}</h1>
<p>{legend}</p>
<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">
{shapes}
</svg>
<pre>{lines}</pre>
</body>
</html>
"""
