"""Why a request ended as it did, from the log lines of the gateways that handled it.

Pure functions on decoded lines; ``commands/explain.py`` reads files and prints.

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

__all__ = ["Cause", "Explanation", "explain", "text_of"]

ENDED = "request ended"
"""The message of the line that ends each attempt."""

_LEADING_UP = frozenset({"run ended early", "send failed", "prefill failed", "no reservation"})
"""Messages of setbacks that a request may have had before its end."""

_ENGINE_MESSAGES = frozenset({"engine list changed", "engine avoided: misdirected"})
"""Messages of what a process came to believe of an engine."""

_COMMON = frozenset({"time", "level", "process", "vm", "message", "request"})

Line = dict[str, str]


@dataclass(frozen=True)
class Cause:
    """How an attempt ended at one gateway: its result code, and what led up to it."""

    vm: str
    code: int
    text: str
    hint: str


@dataclass(frozen=True)
class Explanation:
    """The lines of a request in the order of their times, and the causes of its ends.

    ``lines`` holds besides what the same gateways learned of the engines that the request met.
    """

    request: str
    lines: tuple[Line, ...]
    causes: tuple[Cause, ...]


def explain(texts: Iterable[str], request: str) -> Explanation:
    """Explain a request from log lines of any number of gateways, in any order."""
    lines = [line for line in map(_decode, texts) if line is not None]
    own = [line for line in lines if line.get("request") == request]
    engines = {line["engine"] for line in own if line.get("engine")}
    vms = {line.get("vm") for line in own}
    beliefs = [
        line
        for line in lines
        if line.get("message") in _ENGINE_MESSAGES
        and line.get("engine") in engines
        and line.get("vm") in vms
    ]
    ordered = sorted(own + beliefs, key=lambda line: line.get("time", ""))
    ends = [line for line in ordered if line.get("message") == ENDED]
    return Explanation(request, tuple(ordered), tuple(_cause(end, ordered) for end in ends))


def text_of(line: Line) -> str:
    """Return a line for people: time, VM, message and fields."""
    fields = " ".join(f"{name}={value}" for name, value in line.items() if name not in _COMMON)
    head = f"{line.get('time', '?')} {line.get('vm', '?')} {line.get('message', '')}"
    return f"{head} {fields}".rstrip()


def _decode(text: str) -> Line | None:
    """Return the fields of a JSON line, whatever a collector of logs has put before it."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        item = json.loads(text[start:])
    except ValueError:
        return None
    return {key: str(value) for key, value in item.items()} if isinstance(item, dict) else None


def _cause(end: Line, ordered: list[Line]) -> Cause:
    code = int(end.get("code", "0"))
    info = info_of(ResultCode(code))
    text = f"{code} {info.text} ({end.get('detail', 'no detail')})"
    if code != ResultCode.OK:
        text += "".join(
            f"; before: {_setback(line)}"
            for line in ordered
            if line.get("message") in _LEADING_UP and line.get("vm") == end.get("vm")
        )
    return Cause(end.get("vm", "?"), code, text, info.hint)


def _setback(line: Line) -> str:
    detail = line.get("detail") or line.get("error") or ""
    return f"{line['message']} at {line.get('engine', 'no engine')}: {detail}"
