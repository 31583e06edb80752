"""Read typed fields of JSON objects; errors name the field and its value."""

import json
from typing import Any, TypeVar

from pimentoquay.kernel.input_checks import LEAST, check_value

__all__ = [
    "DecodeError",
    "checked",
    "optional",
    "parse_json",
    "read_seconds",
    "required",
]

Value = TypeVar("Value")


class DecodeError(ValueError):
    """Data from the platform does not conform to its protocol."""


def parse_json(data: bytes, source: str) -> dict[str, Any]:
    """Parse a JSON object; raise ``DecodeError`` with ``source`` in its text if it is invalid."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"{source}: not JSON ({error})") from None
    if not isinstance(value, dict):
        raise DecodeError(f"{source}: expected an object, got {type(value).__name__}")
    return value


def required(item: dict[str, Any], name: str, kind: type[Value], minimum: int = LEAST) -> Value:
    """Return a field of the given type; integers are accepted for floats."""
    return checked(checked(item, "object", dict).get(name), name, kind, minimum)


def optional(
    item: dict[str, Any], name: str, kind: type[Value], default: Value, minimum: int = LEAST
) -> Value:
    """Return a field, or the default if it is missing or null; check its type."""
    value = checked(item, "object", dict).get(name)
    return default if value is None else checked(value, name, kind, minimum)


def checked(value: Any, name: str, kind: type[Value], minimum: int = LEAST) -> Value:
    """Return a value of the given type that holds for all uses; else raise ``DecodeError``."""
    try:
        return check_value(value, kind, minimum)
    except ValueError as error:
        raise DecodeError(f"{name} = {error}") from None


def read_seconds(item: dict[str, Any], name: str, default_ms: float | None = None) -> float:
    """Return a field given in milliseconds, or its default, converted to seconds."""
    if default_ms is not None:
        return optional(item, name, float, default_ms) / 1000.0
    return required(item, name, float) / 1000.0
