"""Decode the workspaces of a configuration, which the platform calls tenants.

No error or log line holds a key: values are not shown where a key is expected.
"""

from itertools import islice
from typing import Any

from pimentoquay.kernel.input_checks import can_be_header, describe
from pimentoquay.platform.fields import DecodeError, optional, required
from pimentoquay.policy.workspaces import (
    Allowance,
    InvalidWorkspace,
    Workspace,
    WorkspaceKeys,
    WorkspaceTable,
    check_key,
    key_digest,
)

__all__ = ["WorkspaceDecoder"]


class WorkspaceDecoder:
    """Decodes the workspaces of a configuration by and by.

    An invalid workspace or key is left out and listed in the table. Raise ``DecodeError`` if the
    list is of a wrong type: a null is refused too, because it would open all routes.

    Parameters
    ----------
    item
        The configuration.
    """

    def __init__(self, item: dict[str, Any]) -> None:
        entries = item.get("tenants", [])
        if type(entries) is not list:
            raise DecodeError(f"tenants: expected list, got {type(entries).__name__}")
        self._has_workspaces = "tenants" in item
        self._left = iter(enumerate(entries))
        self._found: list[WorkspaceKeys] = []
        self._invalid: list[InvalidWorkspace] = []

    def decode(self, count: int) -> bool:
        """Decode up to a number of workspaces; return whether there may be more."""
        piece = list(islice(self._left, count))
        for number, entry in piece:
            try:
                self._found.append(_decode(entry, number, self._invalid))
            except ValueError as error:
                self._invalid.append(InvalidWorkspace(_source(entry, number), str(error)))
        return len(piece) == count

    def table(self) -> WorkspaceTable | None:
        """Return the workspaces decoded so far, or None if the configuration has none."""
        return WorkspaceTable(self._found, self._invalid) if self._has_workspaces else None


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
            digests.append(key_digest(check_key(key)))
        except ValueError as error:
            invalid.append(InvalidWorkspace(_source(entry, number), f"key {place}: {error}"))
    return WorkspaceKeys(workspace, tuple(digests))


def _allowance(entry: dict[str, Any]) -> Allowance | None:
    """Return the allowance; the burst is that of one second if none is stated.

    In requests it is 1 then at least, as no request could ever run with less.
    """
    rate = _amount(entry, "ratePerS", 0.0)
    counts_tokens = entry.get("unit") == "tokens"
    burst = _amount(entry, "burst", rate if counts_tokens else max(rate, 1.0))
    plain_tokens = _amount(entry, "plainTokens", 0.0)
    if rate == 0.0:
        return None
    return Allowance(rate, burst, counts_tokens, plain_tokens)


def _amount(entry: dict[str, Any], name: str, default: float) -> float:
    value = entry.get(name, default)
    return float(value) if _is_small(value) else optional(entry, name, float, default, 0)


def _is_small(value: Any) -> bool:
    """Return whether a value is a number like nearly all; others get the full and slow check."""
    return type(value) is int and 0 <= value <= 2**53


def _source(entry: Any, number: int) -> str:
    """Return the number of a workspace, and its name if it states one."""
    name = entry.get("name") if type(entry) is dict else None
    if type(name) is not str:
        return str(number)
    return f"{number}: {name.encode('ascii', 'backslashreplace').decode()}"
