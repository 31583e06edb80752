"""Strategies for inputs from outside: sound ones that were cut, doubled, nested or changed.

``PIMENTOQUAY_FUZZ_EXAMPLES`` in the environment sets the number of examples of each kind, for long
runs by hand::

    PIMENTOQUAY_FUZZ_EXAMPLES=100000 pytest --hypothesis-profile=search \\
        pimentoquay/gateway/tests/test_fuzzed_parsers.py
"""

import dataclasses
import json
import math
import os
import types
from enum import IntEnum
from typing import Any, Union, get_args, get_origin, get_type_hints

from hypothesis import Phase, settings
from hypothesis import strategies as st

from pimentoquay.kernel.input_checks import MAX_INTEGER
from pimentoquay.messages import encode
from pimentoquay.messages.codec import INTEGER_LIMIT
from pimentoquay.messages.pools import MAX_PRIORITY, PlaceClass, PoolKey
from pimentoquay.messages.streams import StreamsBegun, VersionStreams

__all__ = [
    "EVENTS",
    "ORIGINS",
    "QUARANTINE",
    "VERSION",
    "VM_ADDRESS",
    "changed_bytes",
    "changed_json",
    "check_usable",
    "examples",
    "foreign_json",
    "header_lists",
    "messages",
]

NAMES = (
    "i-1",
    "llm",
    "desk",
    "v1",
    "hall",
    "vm-1",
    "vm-2",
    "vm-9",
    "unknown: i-1 2",
    "127.0.0.1:1",
)
"""Texts that mean something, so that changed inputs reach more than the first check."""

VM_ADDRESS = {"address": "vm-9:1", "data_centre": "hall", "tunnel_address": "vm-9:2"}
VERSION = {"service": "llm", "version": "v9"}
QUARANTINE = {"parts": ["x", "y"], "engines": [["a", 1], ["b", 2], ["c", 3]]}
ORIGINS = encode(StreamsBegun((VersionStreams("llm", "unknown: i-1 2", b"12345678" * 3),)))
"""Sound records of gateways."""

EVENTS = b"".join(b"id: %d\ndata: a%d\n\n" % (number, number) for number in range(1, 6))

DEEP = 2_000
"""Levels of a nested value."""

HUGE = 3_000
"""Digits of a large number."""

texts = st.sampled_from(NAMES) | st.text(st.characters(), max_size=20)
numbers = st.integers(-(2**70), 2**70) | st.floats() | st.integers(-2, 100)
values = st.recursive(
    st.none() | st.booleans() | numbers | texts,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=5,
)
literals = st.sampled_from(
    (
        "1" + "0" * HUGE,
        "-1" + "0" * (2 * HUGE),
        "1e999",
        "[" * DEEP + "]" * DEEP,
        '{"a":' * DEEP + "1" + "}" * DEEP,
        "[" * 50 * DEEP,
        '"\\ud83d"',
        '"' + "x" * 70_000 + '"',
    )
)
"""JSON texts of values that cannot be written by the library."""


def examples(count: int, shrinks: bool = True) -> settings:
    """Return the settings for a number of examples in CI, or for that of a long run.

    An example that fails is made smaller for minutes unless ``shrinks`` is false.
    """
    found = int(os.environ.get("PIMENTOQUAY_FUZZ_EXAMPLES", count))
    phases = tuple(each for each in Phase if shrinks or each is not Phase.shrink)
    return settings(max_examples=found, deadline=None, phases=phases)


@st.composite
def changed_bytes(draw: Any, samples: Any) -> bytes:
    """Draw bytes that were sound before they were cut, doubled, overwritten or repeated."""
    data: bytes = draw(samples)
    for _ in range(draw(st.integers(0, 3))):
        start, end = sorted((draw(st.integers(0, len(data))), draw(st.integers(0, len(data)))))
        part = data[start:end]
        change = draw(st.sampled_from(("cut", "double", "overwrite", "insert", "repeat", "drop")))
        if change == "cut":
            data = data[:end]
        elif change == "double":
            data = data[:end] + part + data[end:]
        elif change == "drop":
            data = data[:start] + data[end:]
        elif change == "repeat":
            data = data[:start] + part[:16] * draw(st.integers(0, 500)) + data[end:]
        else:
            end = end if change == "overwrite" else start
            data = data[:start] + draw(st.binary(max_size=8)) + data[end:]
    return data


@st.composite
def changed_json(draw: Any, *samples: Any) -> bytes:
    """Draw the JSON text of a sample in which some values were replaced, dropped or doubled."""
    item = json.loads(json.dumps(draw(st.sampled_from(samples))))
    literal = ""
    for _ in range(draw(st.integers(1, 3))):
        place, key = _draw_place(draw, item)
        if place is None:
            break
        change = draw(st.sampled_from(("replace", "replace", "drop", "double", "literal")))
        if change == "replace":
            place[key] = draw(values)
        elif change == "literal":
            literal, place[key] = draw(literals), "@@"
        elif change == "drop":
            del place[key]
        else:
            place[key] = [place[key], place[key]]
    text = json.dumps(item).replace('"@@"', literal or '"@@"')
    return draw(st.just(text.encode()) | changed_bytes(st.just(text.encode())))


def foreign_json(sample: dict[str, Any]) -> Any:
    """Return a strategy for JSON texts of a sample's form, in which some values are others.

    Each value keeps its type, and texts mean something.
    """
    return _foreign(sample).map(lambda item: json.dumps(item).encode())


def _foreign(sample: Any) -> Any:
    if isinstance(sample, dict):
        return st.fixed_dictionaries({name: _foreign(each) for name, each in sample.items()})
    if isinstance(sample, list):
        return st.tuples(*map(_foreign, sample)).map(list)
    if isinstance(sample, bool):
        return st.booleans()
    if isinstance(sample, int | float):
        near = st.integers(-3, 10).map(lambda step: max(0, sample + step))
        far = st.sampled_from((0, 1, 10**6, 2**53, MAX_INTEGER))
        return st.just(sample) | near | far
    return st.just(sample) | st.sampled_from((*NAMES, "ready", "draining", "kitchen"))


def _draw_place(draw: Any, item: Any) -> tuple[Any, Any]:
    """Draw a container within an item and a key of it."""
    place, key = None, None
    while isinstance(item, dict | list) and item:
        keys = sorted(item) if isinstance(item, dict) else range(len(item))
        place, key = item, draw(st.sampled_from(keys))
        item = place[key]
        if draw(st.booleans()):
            break
    return place, key


def header_lists(names: tuple[bytes, ...], sound: tuple[bytes, ...]) -> Any:
    """Return a strategy for the headers of a message, with names that mean something."""
    value = changed_bytes(st.sampled_from(sound)) | st.binary(max_size=20)
    return st.lists(st.tuples(st.sampled_from(names), value), max_size=6).map(tuple)


def messages(hint: Any) -> Any:
    """Return a strategy for the values of a type of messages, or of their fields.

    Numbers are within the range that the codec takes, and texts can be encoded.
    """
    if get_origin(hint) is tuple:
        return st.lists(messages(get_args(hint)[0]), max_size=3).map(tuple)
    if get_origin(hint) in (Union, types.UnionType):
        return st.one_of(*(messages(each) for each in get_args(hint)))
    if hint is PlaceClass:  # Values out of its ranges cannot be constructed.
        priorities = st.integers(0, MAX_PRIORITY)
        return st.builds(hint, messages(str), messages(PoolKey), priorities, messages(str))
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        hints = get_type_hints(hint)
        fields = [messages(hints[each.name]) for each in dataclasses.fields(hint)]
        return st.builds(hint, *fields)
    if issubclass(hint, IntEnum):
        return st.sampled_from(hint)
    return _SCALARS[hint]


_SCALARS: dict[Any, Any] = {
    bool: st.booleans(),
    bytes: st.binary(max_size=40),
    float: st.floats(allow_nan=False) | st.floats(0.0, 60.0),
    int: st.integers(-INTEGER_LIMIT, INTEGER_LIMIT - 1) | st.integers(-2, 100),
    str: st.sampled_from(NAMES) | st.text(st.characters(codec="utf-8"), max_size=20),
    type(None): st.none(),
}


def check_usable(value: Any, limit: int = MAX_INTEGER + 1) -> None:
    """Check that what was read from outside holds for all later uses.

    Integers have to be below a limit; that of messages is higher than that of all else.
    """
    if isinstance(value, str):
        value.encode()
    elif isinstance(value, float):
        assert not math.isnan(value)
    elif isinstance(value, int):
        assert -limit <= value < limit
    elif dataclasses.is_dataclass(value):
        for each in dataclasses.fields(value):
            check_usable(getattr(value, each.name), limit)
    elif isinstance(value, dict):
        check_usable(tuple(value.items()), limit)
    elif isinstance(value, list | tuple | set | frozenset):
        for item in value:
            check_usable(item, limit)
