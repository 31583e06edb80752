"""Immutable typed messages and their CBOR codec.

A message is a frozen data class registered under a number. On the wire it is a CBOR array of the
number followed by the field values in order. Decoding checks every value against the field's
type and raises ``CodecError`` for anything else, so no unvalidated value enters a process.

Example
-------
::

    @message(42)
    class Ping:
        sequence: int

    assert decode(encode(Ping(7))) == Ping(7)
"""

import dataclasses
import math
import types
from collections.abc import Callable
from enum import IntEnum
from typing import (
    Any,
    TypeVar,
    Union,
    cast,
    dataclass_transform,
    get_args,
    get_origin,
    get_type_hints,
)

import cbor2

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.kernel.input_checks import describe

__all__ = ["MAX_FRAME_BYTES", "CodecError", "decode", "encode", "encoded_size", "message"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum size of a frame that is encoded or decoded, in bytes."""

MAX_LIST_ITEMS = 32 * 1024
"""Maximum length of a list in a message; parts of 256 KB hold up to some 20,000 items."""

INTEGER_LIMIT = 2**64
"""Integers of this size and above need more than the 64 bits that CBOR has for a plain one."""

MessageClass = TypeVar("MessageClass", bound=type)
Decoder = Callable[[Any], Any]

_class_by_number: dict[int, type] = {}
_number_by_class: dict[type, int] = {}
_decoder_by_class: dict[type, Decoder] = {}


class CodecError(PimentoquayError):
    """Raised for a frame that is too large or not a known, well-formed message."""


@dataclass_transform(frozen_default=True)
def message(number: int) -> Callable[[MessageClass], MessageClass]:
    """Return a decorator that turns a class into a message with the given number."""

    def register(cls: MessageClass) -> MessageClass:
        frozen: Any = dataclasses.dataclass(frozen=True)(cls)
        if number in _class_by_number:
            other = _class_by_number[number].__name__
            raise ValueError(f"message number {number} already belongs to {other}")
        _class_by_number[number] = frozen
        _number_by_class[frozen] = number
        return frozen

    return register


def encode(item: Any) -> bytes:
    """Encode a message as a frame; raise ``CodecError`` if it is too large."""
    number = _number_by_class[type(item)]
    frame = cbor2.dumps([number, *_field_values(item)])
    if len(frame) > MAX_FRAME_BYTES:
        raise CodecError(ResultCode.FRAME_TOO_LARGE, f"{len(frame)} bytes")
    return frame


def encoded_size(item: Any) -> int:
    """Return the size in bytes that a message has as a part of another one."""
    return len(cbor2.dumps(_field_values(item)))


def decode(frame: bytes) -> Any:
    """Decode a frame into a message; raise ``CodecError`` if it is malformed or unknown."""
    if len(frame) > MAX_FRAME_BYTES:
        raise CodecError(ResultCode.FRAME_TOO_LARGE, f"{len(frame)} bytes")
    try:
        values = cbor2.loads(frame)
    except Exception as error:
        raise CodecError(ResultCode.FRAME_MALFORMED, f"not CBOR: {error}") from None
    if not isinstance(values, list) or not values or type(values[0]) is not int:
        raise CodecError(ResultCode.FRAME_MALFORMED, "not a message array")
    cls = _class_by_number.get(values[0])
    if cls is None:
        raise CodecError(
            ResultCode.FRAME_MALFORMED, f"unknown message number {describe(values[0])}"
        )
    return _decode_fields(cls, values[1:])


def _field_values(item: Any) -> list[Any]:
    return [_to_cbor_value(getattr(item, name)) for name in item.__dataclass_fields__]


def _to_cbor_value(value: Any) -> Any:
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, tuple):
        return [_to_cbor_value(item) for item in value]
    if hasattr(value, "__dataclass_fields__"):
        return _field_values(value)
    return value


def _decode_fields(cls: type, values: Any) -> Any:
    decoder = _decoder_by_class.get(cls)
    if decoder is None:
        decoder = _decoder_by_class[cls] = _make_fields_decoder(cls)
    return decoder(values)


def _make_fields_decoder(cls: type) -> Decoder:
    hints = get_type_hints(cls)
    decoders = [_make_decoder(hints[item.name]) for item in dataclasses.fields(cls)]
    names = [item.name for item in dataclasses.fields(cls)]

    def decode_object(values: Any) -> Any:
        if not isinstance(values, list) or len(values) != len(decoders):
            raise CodecError(
                ResultCode.FRAME_MALFORMED, f"{cls.__name__} needs {len(decoders)} values"
            )
        parts = []
        for name, decoder, value in zip(names, decoders, values, strict=True):
            try:
                parts.append(decoder(value))
            except (TypeError, ValueError) as error:
                detail = f"{cls.__name__}.{name}: {error}"
                raise CodecError(ResultCode.FRAME_MALFORMED, detail) from None
        try:
            return cls(*parts)
        except (TypeError, ValueError) as error:
            raise CodecError(ResultCode.FRAME_MALFORMED, f"{cls.__name__}: {error}") from None

    return decode_object


def _make_decoder(hint: Any) -> Decoder:
    origin = get_origin(hint)
    if origin is tuple:
        return _make_tuple_decoder(_make_decoder(get_args(hint)[0]))
    if origin in (Union, types.UnionType):
        inner = next(part for part in get_args(hint) if part is not type(None))
        return _make_optional_decoder(_make_decoder(inner))
    if dataclasses.is_dataclass(hint):
        return lambda value: _decode_fields(cast(type, hint), value)
    if issubclass(hint, IntEnum):
        return hint
    return _make_scalar_decoder(hint)


def _make_tuple_decoder(inner: Decoder) -> Decoder:
    def decode_tuple(value: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError(f"expected an array, got {type(value).__name__}")
        if len(value) > MAX_LIST_ITEMS:
            raise ValueError(f"a list of {len(value)}")
        return tuple(inner(item) for item in value)

    return decode_tuple


def _make_optional_decoder(inner: Decoder) -> Decoder:
    return lambda value: None if value is None else inner(value)


def _make_scalar_decoder(kind: type) -> Decoder:
    accepted = (int, float) if kind is float else (kind,)

    def decode_scalar(value: Any) -> Any:
        if type(value) not in accepted:
            raise TypeError(f"expected {kind.__name__}, got {type(value).__name__}")
        if isinstance(value, int) and not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
            raise ValueError(f"{describe(value)}: out of range")
        if isinstance(value, float) and math.isnan(value):
            raise ValueError("not a number")
        return float(value) if kind is float else value

    return decode_scalar
