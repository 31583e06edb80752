"""``explain REQUEST FILE...``: why a request ended as it did, from gateways' logs."""

import argparse
from collections.abc import Iterator
from pathlib import Path

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.explanation import explain, text_of
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.kernel import plugin

__all__ = ["ExplainCommand"]


@plugin("ctl-command", "explain")
class ExplainCommand:
    """Show a request's way through the gateways and why it ended, from their logs."""

    is_local = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument("request", help="the request's id")
        parser.add_argument("files", type=Path, nargs="+", help="log files of the gateways")

    async def run(self, context: Context) -> int:
        """Print the lines in the order of their times, then each end with its cause."""
        arguments, output = context.arguments, context.output
        explanation = explain(_lines_of(arguments.files), arguments.request)
        output.json(explanation)
        for line in explanation.lines:
            output.text(text_of(line))
        for cause in explanation.causes:
            output.text(f"{cause.vm}: {cause.text}")
            output.text(f"{cause.vm}: {cause.hint}")
        if not explanation.lines:
            output.error(f"no line of {arguments.request} in {len(arguments.files)} files")
            return ExitStatus.REFUSED
        return ExitStatus.OK


def _lines_of(files: list[Path]) -> Iterator[str]:
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise CtlError(ExitStatus.INVALID, f"cannot read {file}: {error}") from None
