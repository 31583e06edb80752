"""Reading fields of decoded JSON, with errors that name the field and its value."""

import json
from typing import Any, TypeVar

__all__ = ["DecodeError", "is_number", "object_of", "optional", "required", "seconds_of"]

Value = TypeVar("Value")


class DecodeError(ValueError):
    """Bytes of the platform that are not what its protocol describes."""


def object_of(data: bytes, what: str) -> dict[str, Any]:
    """Return a JSON object; ``DecodeError`` naming ``what`` if the bytes hold none."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"{what}: not JSON ({error})") from None
    if not isinstance(value, dict):
        raise DecodeError(f"{what}: expected an object, got {type(value).__name__}")
    return value


def is_number(value: Any) -> bool:
    """Return whether a value is a number; JSON's true and false are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def required(item: dict[str, Any], name: str, kind: type[Value]) -> Value:
    """Return a field of the given type; whole numbers are taken where a float is wanted."""
    value = item.get(name)
    if kind is float and is_number(value):
        return float(value)  # type: ignore[return-value,arg-type]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise DecodeError(f"{name} = {value!r}: expected {kind.__name__}")
    return value


def optional(item: dict[str, Any], name: str, kind: type[Value], default: Value) -> Value:
    """Return a field, or the default if it is missing or null; another type is an error."""
    return default if item.get(name) is None else required(item, name, kind)


def seconds_of(item: dict[str, Any], name: str, default_ms: float | None = None) -> float:
    """Return a field in milliseconds as seconds."""
    if default_ms is not None:
        return optional(item, name, float, default_ms) / 1000.0
    return required(item, name, float) / 1000.0
