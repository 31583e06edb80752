"""Printing for people (tables, colours on a terminal) and for programs (JSON)."""

import dataclasses
import json
import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, TextIO

__all__ = ["Output", "plain"]

_COLOUR_BY_STATE = {"ok": "32", "waiting": "33", "stuck": "31"}


def plain(value: Any) -> Any:
    """Return a value as JSON can hold it: data classes as objects, codes by name."""
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
    """Where a command prints to."""

    def __init__(
        self, *, as_json: bool, stream: TextIO | None = None, errors: TextIO | None = None
    ) -> None:
        self.as_json = as_json
        self._stream = stream or sys.stdout
        self._errors = errors or sys.stderr

    def text(self, text: str) -> None:
        """Print one line for people."""
        if not self.as_json:
            self._stream.write(text + "\n")

    def raw(self, text: str) -> None:
        """Print a text as it is, in both modes."""
        self._stream.write(text)

    def json(self, value: Any) -> None:
        """Print one JSON document if JSON is asked for."""
        if self.as_json:
            self._stream.write(json.dumps(plain(value), indent=2, ensure_ascii=False) + "\n")

    def progress(self, text: str) -> None:
        """Print one line of progress to standard error."""
        self._errors.write(text + "\n")
        self._errors.flush()

    def error(self, text: str) -> None:
        """Print one line about a fault to standard error."""
        self._errors.write(self._coloured(text, "31", self._errors) + "\n")

    def state(self, state: str) -> str:
        """Return a state's name, coloured on a terminal."""
        return self._coloured(state, _COLOUR_BY_STATE.get(state, "0"), self._stream)

    def table(self, header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
        """Print a table for people."""
        if self.as_json:
            return
        widths = [
            max(len(_bare(row[column])) for row in [header, *rows]) for column in range(len(header))
        ]
        for row in [header, *rows]:
            cells = [
                cell + " " * (width - len(_bare(cell)))
                for cell, width in zip(row, widths, strict=True)
            ]
            self._stream.write("  ".join(cells).rstrip() + "\n")

    def _coloured(self, text: str, colour: str, stream: TextIO) -> str:
        return f"\x1b[{colour}m{text}\x1b[0m" if stream.isatty() else text


def _bare(text: str) -> str:
    if not text.startswith("\x1b["):
        return text
    return text.partition("m")[2].removesuffix("\x1b[0m")
