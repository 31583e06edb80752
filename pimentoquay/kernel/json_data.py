"""Conversion of frozen data classes to and from JSON, for the HTTP interfaces.

A data class is written as an object with its fields, an ``IntEnum`` as its number and ``bytes`` as
base64 text. Reading checks the type of every field.

Example
-------
::

    order = from_json(CancelOrder, b'{"request_id": "r", "attempt": 1}')
    assert to_json(order) == b'{"request_id": "r", "attempt": 1}'
"""

import base64
import dataclasses
import json
import types
from enum import IntEnum
from functools import lru_cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

__all__ = ["from_json", "from_plain", "to_json"]

Data = TypeVar("Data")


def to_json(item: Any) -> bytes:
    """Return a data class instance as JSON text in UTF-8."""
    return json.dumps(_to_plain(item), ensure_ascii=False).encode("utf-8", "surrogatepass")


def from_json(cls: type[Data], text: bytes) -> Data:
    """Return an instance of ``cls`` read from JSON text; raise ``ValueError`` if it is invalid."""
    return from_plain(cls, json.loads(text.decode("utf-8", "surrogatepass")))


def from_plain(cls: type[Data], value: Any) -> Data:
    """Return an instance of ``cls`` from a parsed JSON object; raise ``ValueError`` if invalid."""
    if not isinstance(value, dict):
        raise ValueError(f"{cls.__name__}: expected an object, got {type(value).__name__}")
    hints = _field_types(cls)
    unknown = sorted(set(value) - set(hints))
    if unknown:
        raise ValueError(f"{cls.__name__}: unknown {', '.join(unknown)}")
    values = {}
    for name, hint in hints.items():
        if name in value:
            values[name] = _convert(f"{cls.__name__}.{name}", hint, value[name])
    try:
        return cls(**values)
    except TypeError as error:
        raise ValueError(str(error)) from None


@lru_cache(maxsize=256)
def _field_types(cls: Any) -> dict[str, Any]:
    hints = get_type_hints(cls)
    return {item.name: hints[item.name] for item in dataclasses.fields(cls)}


def _to_plain(value: Any) -> Any:
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, bytes):
        return base64.b64encode(value).decode("ascii")
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    if hasattr(value, "__dataclass_fields__"):
        return {name: _to_plain(getattr(value, name)) for name in value.__dataclass_fields__}
    return value


def _convert(field_path: str, hint: Any, value: Any) -> Any:
    if get_origin(hint) is tuple:
        if not isinstance(value, list):
            raise ValueError(f"{field_path}: expected an array")
        inner = get_args(hint)[0]
        return tuple(_convert(field_path, inner, item) for item in value)
    if get_origin(hint) in (Union, types.UnionType):
        inner = next(part for part in get_args(hint) if part is not type(None))
        return None if value is None else _convert(field_path, inner, value)
    if dataclasses.is_dataclass(hint):
        return from_plain(hint, value)  # type: ignore[arg-type]
    if hint is bytes and isinstance(value, str):
        return base64.b64decode(value, validate=True)
    if issubclass(hint, IntEnum) and type(value) is int:
        return hint(value)
    if hint is float and type(value) is int:
        return float(value)
    if type(value) is not hint:
        raise ValueError(f"{field_path}: expected {hint.__name__}, got {type(value).__name__}")
    return value
