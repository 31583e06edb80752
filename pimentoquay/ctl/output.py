"""Output of the commands: text with tables and colours for people, JSON for programs."""

import dataclasses
import json
import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, TextIO

__all__ = ["Output", "plain"]

_COLOUR_BY_STATE = {"ok": "32", "waiting": "33", "stuck": "31"}


def plain(value: Any) -> Any:
    """Return a value as JSON types: a data class as an object, an ``IntEnum`` by its name."""
    if isinstance(value, IntEnum):
        return value.name.lower()
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {item.name: plain(getattr(value, item.name)) for item in dataclasses.fields(value)}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    return value


class Output:
    """Output of a command.

    Parameters
    ----------
    as_json
        Whether to print JSON instead of text.
    stream
        Stream for results; standard output if omitted.
    errors
        Stream for progress and errors; standard error if omitted.
    """

    def __init__(
        self, *, as_json: bool, stream: TextIO | None = None, errors: TextIO | None = None
    ) -> None:
        self.as_json = as_json
        self._stream = stream or sys.stdout
        self._errors = errors or sys.stderr

    def text(self, text: str) -> None:
        """Print a line of text, unless JSON was requested."""
        if not self.as_json:
            self._stream.write(text + "\n")

    def raw(self, text: str) -> None:
        """Print text unchanged, also if JSON was requested."""
        self._stream.write(text)

    def json(self, value: Any) -> None:
        """Print a value as a JSON document, if JSON was requested."""
        if self.as_json:
            self._stream.write(json.dumps(plain(value), indent=2, ensure_ascii=False) + "\n")

    def progress(self, text: str) -> None:
        """Print a line of progress to standard error."""
        self._errors.write(text + "\n")
        self._errors.flush()

    def error(self, text: str) -> None:
        """Print an error message to standard error."""
        self._errors.write(self._coloured(text, "31", self._errors) + "\n")

    def state(self, state: str) -> str:
        """Return the name of a state, coloured if the output is a terminal."""
        return self._coloured(state, _COLOUR_BY_STATE.get(state, "0"), self._stream)

    def table(self, header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
        """Print a table with aligned columns, unless JSON was requested."""
        if self.as_json:
            return
        widths = [
            max(len(_strip_colour(row[column])) for row in [header, *rows])
            for column in range(len(header))
        ]
        for row in [header, *rows]:
            cells = [
                cell + " " * (width - len(_strip_colour(cell)))
                for cell, width in zip(row, widths, strict=True)
            ]
            self._stream.write("  ".join(cells).rstrip() + "\n")

    def _coloured(self, text: str, colour: str, stream: TextIO) -> str:
        return f"\x1b[{colour}m{text}\x1b[0m" if stream.isatty() else text


def _strip_colour(text: str) -> str:
    if not text.startswith("\x1b["):
        return text
    return text.partition("m")[2].removesuffix("\x1b[0m")
