"""``timeline``: show the events of all processes in causal order."""

import argparse
import re
from pathlib import Path

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.ctl.timeline_html import render_html
from pimentoquay.ctl.timeline_text import format_event
from pimentoquay.kernel import plugin
from pimentoquay.messages.operator import Scope, TimelineEvents, TimelineRequest

__all__ = ["TimelineCommand", "parse_span"]

_SPAN = re.compile(r"(\d+(?:\.\d+)?)(s|m|h)?")
_SECONDS_BY_UNIT = {"s": 1.0, "m": 60.0, "h": 3600.0}


@plugin("ctl-command", "timeline")
class TimelineCommand:
    """Show the events of all processes in causal order, or draw them."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("--request", default="", help="only events of this request id")
        parser.add_argument("--workspace", default="", help="only events of this workspace")
        parser.add_argument("--since", default="", help="only events of the last 30s, 5m, 1h etc.")
        parser.add_argument("--html", type=Path, help="draw the events into this HTML file")

    async def run(self, context: Context) -> int:
        """Print the events, or write them to an HTML file as a diagram."""
        arguments = context.arguments
        since_us = 0
        if arguments.since:
            since_us = int((context.clock.wall() - parse_span(arguments.since)) * 1e6)
        async with context.link() as link:
            request = TimelineRequest(
                link.next_query_number(),
                Scope.ALL,
                arguments.request,
                arguments.workspace,
                since_us,
            )
            answer = await link.call(request, TimelineEvents)
        if arguments.html is not None:
            return self._draw(context, answer)
        context.output.json(answer.events)
        for event in answer.events:
            context.output.text(format_event(event))
        return ExitStatus.OK

    def _draw(self, context: Context, answer: TimelineEvents) -> int:
        title = context.arguments.request or context.arguments.workspace or "all events"
        path = context.arguments.html
        try:
            path.write_text(render_html(title, answer.events), encoding="utf-8")
        except OSError as error:
            raise CtlError(ExitStatus.REFUSED, f"cannot write {path}: {error}") from None
        context.output.text(f"wrote {path}, {len(answer.events)} events")
        context.output.json({"file": str(path), "events": len(answer.events)})
        return ExitStatus.OK


def parse_span(span: str) -> float:
    """Return a time span such as ``30s``, ``5m`` or ``1h`` in seconds."""
    match = _SPAN.fullmatch(span)
    if match is None:
        detail = f"--since {span}: expected a number with s, m or h, such as 30s"
        raise CtlError(ExitStatus.INVALID, detail)
    return float(match[1]) * _SECONDS_BY_UNIT[match[2] or "s"]
