"""Finds out why a request ended as it did, from the logs of the gateways that handled it.

The functions here only process lines; ``commands/explain.py`` reads the files and prints.

Example
-------
>>> line = '12.3 vm-1 {"time": "t", "vm": "vm-1", "message": "request ended", "request": "r1",'
>>> line += ' "code": "200", "detail": "9000 tokens wait", "seconds": "0.001"}'
>>> explain([line], "r1").causes[0].text
'200 not run: the queue is full (9000 tokens wait)'
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from pimentoquay.kernel import ResultCode, info_of

__all__ = ["Cause", "Explanation", "explain", "format_line"]

END_MESSAGE = "request ended"
"""Message of the log line with which each attempt of a request ends."""

_FAILURE_MESSAGES = frozenset(
    {"run ended early", "send failed", "prefill failed", "no reservation"}
)
"""Messages of failures that may precede the end of a request and are shown as its cause."""

_ENGINE_STATE_MESSAGES = frozenset({"engine list changed", "engine avoided: misdirected"})
"""Messages about a change of a gateway's view of an engine."""

_COMMON_FIELDS = frozenset({"time", "level", "process", "vm", "message", "request"})

Line = dict[str, str]


@dataclass(frozen=True)
class Cause:
    """Result of an attempt at one gateway: its result code and the failures that preceded it."""

    vm: str
    code: int
    text: str
    hint: str


@dataclass(frozen=True)
class Explanation:
    """Log lines of a request in the order of their times, and the result of each attempt.

    ``lines`` also contains the lines of the same gateways about changes of the engines that the
    request used.
    """

    request: str
    lines: tuple[Line, ...]
    causes: tuple[Cause, ...]


def explain(texts: Iterable[str], request: str) -> Explanation:
    """Explain how a request ended.

    Parameters
    ----------
    texts
        Log lines of any number of gateways, in any order.
    request
        Id of the request.
    """
    lines = [line for line in map(_decode, texts) if line is not None]
    request_lines = [line for line in lines if line.get("request") == request]
    engines = {line["engine"] for line in request_lines if line.get("engine")}
    vms = {line.get("vm") for line in request_lines}
    engine_lines = [
        line
        for line in lines
        if line.get("message") in _ENGINE_STATE_MESSAGES
        and line.get("engine") in engines
        and line.get("vm") in vms
    ]
    sorted_lines = sorted(request_lines + engine_lines, key=lambda line: line.get("time", ""))
    end_lines = [line for line in sorted_lines if line.get("message") == END_MESSAGE]
    return Explanation(
        request,
        tuple(sorted_lines),
        tuple(_cause(end_line, sorted_lines) for end_line in end_lines),
    )


def format_line(line: Line) -> str:
    """Return a log line as readable text: time, VM, message and the other fields."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _COMMON_FIELDS
    )
    head = f"{line.get('time', '?')} {line.get('vm', '?')} {line.get('message', '')}"
    return f"{head} {fields}".rstrip()


def _decode(text: str) -> Line | None:
    """Return the fields of a JSON log line, ignoring any prefix that a log collector added."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        item = json.loads(text[start:])
    except ValueError:
        return None
    return {key: str(value) for key, value in item.items()} if isinstance(item, dict) else None


def _cause(end_line: Line, sorted_lines: list[Line]) -> Cause:
    code = int(end_line.get("code", "0"))
    info = info_of(ResultCode(code))
    text = f"{code} {info.text} ({end_line.get('detail', 'no detail')})"
    if code != ResultCode.OK:
        text += "".join(
            f"; before: {_format_failure(line)}"
            for line in sorted_lines
            if line.get("message") in _FAILURE_MESSAGES and line.get("vm") == end_line.get("vm")
        )
    return Cause(end_line.get("vm", "?"), code, text, info.hint)


def _format_failure(line: Line) -> str:
    detail = line.get("detail") or line.get("error") or ""
    return f"{line['message']} at {line.get('engine', 'no engine')}: {detail}"
