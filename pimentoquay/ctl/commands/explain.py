"""``explain REQUEST FILE...``: show why a request ended as it did, from the gateways' logs."""

import argparse
from collections.abc import Iterator
from pathlib import Path

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.explanation import explain, format_line
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.kernel import plugin

__all__ = ["ExplainCommand"]


@plugin("ctl-command", "explain")
class ExplainCommand:
    """Show a request's way through the gateways and why it ended, from their logs."""

    is_local = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("request", help="the request's id")
        parser.add_argument("files", type=Path, nargs="+", help="log files of the gateways")

    async def run(self, context: Context) -> int:
        """Print the log lines in the order of their times, then the result of each attempt."""
        arguments, output = context.arguments, context.output
        explanation = explain(_read_lines(arguments.files), arguments.request)
        output.json(explanation)
        for line in explanation.lines:
            output.text(format_line(line))
        for cause in explanation.causes:
            output.text(f"{cause.vm}: {cause.text}")
            output.text(f"{cause.vm}: {cause.hint}")
        if not explanation.lines:
            output.error(f"no line of {arguments.request} in {len(arguments.files)} files")
            return ExitStatus.REFUSED
        return ExitStatus.OK


def _read_lines(files: list[Path]) -> Iterator[str]:
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise CtlError(ExitStatus.INVALID, f"cannot read {file}: {error}") from None
