"""Checks of values from outside, which are made once, where the values enter.

What passes holds for all later uses: a text can be encoded, a name can be sent in a header, and a
number can be converted, compared and sent.
What fails is refused with ``refuse``, which logs and counts it.
"""

import reprlib
from collections import Counter
from typing import Any, TypeVar

from pimentoquay.kernel.logs import logger

__all__ = [
    "LEAST",
    "MAX_INTEGER",
    "can_be_header",
    "check_key",
    "check_range",
    "check_text",
    "check_value",
    "describe",
    "refuse",
    "refused_by_kind",
    "valid_or",
]

Number = TypeVar("Number", int, float)
Value = TypeVar("Value")

MAX_INTEGER = 2**63 - 1
"""Largest number that is accepted."""

LEAST = -MAX_INTEGER
"""Smallest number that is accepted."""

MAX_HEADER_CHARACTERS = 1024
"""Maximum length of a text that is sent in a header, in characters."""

MAX_KEY_BYTES = 255
"""Maximum size of the key of a record, in bytes."""

refused_by_kind: Counter[str] = Counter()
"""Number of inputs that this process has refused, by what they were."""


def check_text(value: str) -> str:
    """Return a text; raise ``ValueError`` if it cannot be encoded in UTF-8.

    JSON can state lone surrogates, which have no encoding.
    """
    try:
        value.encode()
    except UnicodeEncodeError:
        raise ValueError(f"{describe(value)} cannot be encoded") from None
    return value


def check_key(key: str) -> str:
    """Return the key of a record; raise ``ValueError`` if it has no encoding or is too long."""
    if len(check_text(key).encode()) > MAX_KEY_BYTES:
        raise ValueError(f"a key of {len(key)} characters")
    return key


def check_range(value: Number, minimum: int = LEAST) -> Number:
    """Return a number; raise ``ValueError`` if it is out of range or not a number.

    Example
    -------
    >>> check_range(6, minimum=0)
    6
    """
    if not minimum <= value <= MAX_INTEGER:
        raise ValueError(f"{describe(value)}: out of range")
    return value


def check_value(value: Any, kind: type[Value], minimum: int = LEAST) -> Value:
    """Return a value of a type, where an integer serves as a float; raise ``ValueError`` if not.

    A number must not be less than ``minimum``.
    """
    if type(value) is int and kind is float:
        return float(check_range(value, minimum))  # type: ignore[return-value]
    if type(value) is not kind:
        raise ValueError(f"{describe(value)}: expected {kind.__name__}")
    if isinstance(value, str):
        return value if value.isascii() else check_text(value)
    if isinstance(value, int | float):
        return check_range(value, minimum)
    return value


def can_be_header(text: str) -> bool:
    r"""Return whether a text can be sent as the value of an HTTP header.

    Example
    -------
    >>> can_be_header("i-1"), can_be_header("i\r\n-1"), can_be_header(" i")
    (True, False, False)
    """
    return 0 < len(text) <= MAX_HEADER_CHARACTERS and text.isprintable() and text == text.strip()


def describe(value: object) -> str:
    r"""Return a short text that shows a value of any kind and can be encoded.

    Example
    -------
    >>> describe("\ud83d"), describe([1, [2]])
    ("'\\ud83d'", 'list of 2')
    """
    if isinstance(value, list | dict):
        return f"{type(value).__name__} of {len(value)}"
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"an integer of {value.bit_length()} bits"
    return reprlib.repr(value).encode("ascii", "backslashreplace").decode()


def refuse(kind: str, source: object, error: object) -> None:
    """Log and count an input that is ignored because it is invalid.

    Parameters
    ----------
    kind
        What it was, as the label of the counter.
    source
        Key of the record, or the process that has sent it.
    error
        What is wrong with it.
    """
    refused_by_kind[kind] += 1
    logger.bind(source=describe(source), error=str(error)).warning(f"invalid {kind} ignored")


def valid_or(default: Value, value: Any, kind: str, source: object) -> Value:
    """Return a value of the type of a default, not below zero if it is a number.

    The default takes the place of a missing value, and of an invalid one, which is refused.

    Parameters
    ----------
    default, value
        The default, and the value or None.
    kind, source
        As for ``refuse``.
    """
    if value is None:
        return default
    try:
        return check_value(value, type(default), 0)
    except ValueError as error:
        refuse(kind, source, error)
        return default
