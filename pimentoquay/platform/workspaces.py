"""Decode the workspaces of a configuration, which the platform calls tenants.

No error or log line holds a key: values are not shown where a key is expected.
"""

import re
from typing import Any

from pimentoquay.kernel.input_checks import can_be_header, describe
from pimentoquay.platform.fields import DecodeError, optional, required
from pimentoquay.policy.workspaces import (
    Allowance,
    InvalidWorkspace,
    Workspace,
    WorkspaceKeys,
    WorkspaceTable,
    key_digest,
)

__all__ = ["MAX_KEY_BYTES", "decode_workspaces"]

MAX_KEY_BYTES = 4096
"""Maximum size of a key; callers' heads are limited to 16 KB as a whole by default."""

_CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that the value of a header cannot have."""


def decode_workspaces(item: dict[str, Any]) -> WorkspaceTable | None:
    """Decode the workspaces of a configuration; None if it has none.

    An invalid workspace or key is left out and listed in the table. Raise ``DecodeError`` if the
    list is of a wrong type: a null is refused too, because it would open all routes.
    """
    if "tenants" not in item:
        return None
    entries = item["tenants"]
    if type(entries) is not list:
        raise DecodeError(f"tenants: expected list, got {type(entries).__name__}")
    found: list[WorkspaceKeys] = []
    invalid: list[InvalidWorkspace] = []
    for number, entry in enumerate(entries):
        try:
            found.append(_decode(entry, number, invalid))
        except DecodeError as error:
            invalid.append(InvalidWorkspace(_source(entry, number), str(error)))
    return WorkspaceTable(found, invalid)


def _decode(entry: Any, number: int, invalid: list[InvalidWorkspace]) -> WorkspaceKeys:
    if type(entry) is not dict:
        raise DecodeError(f"expected an object, got {type(entry).__name__}")
    name = entry.get("name")
    if type(name) is not str or not can_be_header(required(entry, "name", str)):
        raise DecodeError(f"name = {describe(name)}: cannot be sent in a header")
    priority = entry.get("priority")
    if priority is not None and not _is_small(priority):
        priority = required(entry, "priority", int, 0)
    workspace = Workspace(name, priority, _allowance(entry))
    keys = entry.get("apiKeys")
    if keys is not None and type(keys) is not list:
        raise DecodeError(f"apiKeys: expected list, got {type(keys).__name__}")
    digests = []
    for place, key in enumerate(keys or ()):
        try:
            digests.append(key_digest(_check_key(key)))
        except DecodeError as error:
            invalid.append(InvalidWorkspace(_source(entry, number), f"key {place}: {error}"))
    return WorkspaceKeys(workspace, tuple(digests))


def _allowance(entry: dict[str, Any]) -> Allowance | None:
    """Return the allowance; the burst is that of one second if none is stated."""
    rate = _amount(entry, "ratePerS", 0.0)
    burst = _amount(entry, "burst", rate)
    plain_tokens = _amount(entry, "plainTokens", 0.0)
    if rate == 0.0:
        return None
    return Allowance(rate, burst, entry.get("unit") == "tokens", plain_tokens)


def _amount(entry: dict[str, Any], name: str, default: float) -> float:
    value = entry.get(name, default)
    return float(value) if _is_small(value) else optional(entry, name, float, default, 0)


def _is_small(value: Any) -> bool:
    """Return whether a value is a number like nearly all; others get the full and slow check."""
    return type(value) is int and 0 <= value <= 2**53


def _check_key(key: Any) -> bytes:
    """Return a key as callers send it; raise ``DecodeError`` without its value if it is invalid."""
    if type(key) is not str:
        raise DecodeError(f"expected str, got {type(key).__name__}")
    is_plain = key.isascii() and key.isalnum() and len(key) <= MAX_KEY_BYTES
    if is_plain:
        return key.encode()
    try:
        data = key.encode()
    except UnicodeEncodeError:
        raise DecodeError("cannot be encoded") from None
    if not 0 < len(data) <= MAX_KEY_BYTES:
        raise DecodeError(f"{len(data)} bytes")
    if data != data.strip() or _CONTROL_BYTES.search(data):
        raise DecodeError("cannot be sent in a header")
    return data


def _source(entry: Any, number: int) -> str:
    """Return the number of a workspace, and its name if it states one."""
    name = entry.get("name") if type(entry) is dict else None
    if type(name) is not str:
        return str(number)
    return f"{number}: {name.encode('ascii', 'backslashreplace').decode()}"
