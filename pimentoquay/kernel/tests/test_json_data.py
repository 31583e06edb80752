from dataclasses import dataclass
from enum import IntEnum

import pytest

from pimentoquay.kernel.json_data import from_json, to_json


class Colour(IntEnum):
    RED = 1


@dataclass(frozen=True)
class Inner:
    data: bytes


@dataclass(frozen=True)
class Outer:
    inners: tuple[Inner, ...]
    colour: Colour
    share: float
    other: Inner | None = None


def test_nested_data_round_trips():
    item = Outer((Inner(b"\x00\xff"), Inner(b"")), Colour.RED, 0.5)
    assert from_json(Outer, to_json(item)) == item


@pytest.mark.parametrize(
    "text",
    [b"", b"[]", b"{}", b'{"inners": [], "colour": 2, "share": 1}', b'{"x": 1}', b"\xff",
     b'{"inners": [{"data": 1}], "colour": 1, "share": 1}',
     b'{"inners": [], "colour": 1, "share": "1"}'],
)  # fmt: skip
def test_data_of_the_wrong_type_is_a_value_error(text):
    with pytest.raises(ValueError):
        from_json(Outer, text)
