"""Workspaces of a configuration: their names, keys, priorities and allowances.

Load: 14,000 requests a second over 8,500 workspaces with a few keys each, so a key is found in one
step. Failures addressed: a configuration that gives one key to two workspaces, and a key that is
withdrawn while a request waits, which is decided anew before each send.
"""

import hashlib
import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "MAX_KEY_BYTES",
    "UNCHECKED",
    "Access",
    "Allowance",
    "InvalidWorkspace",
    "KeyRefusal",
    "Workspace",
    "WorkspaceKeys",
    "WorkspaceTable",
    "check_key",
    "key_digest",
]

DIGEST_BYTES = 16
"""Size of the digest of a key; among 2**15 keys, two collide with a probability of 2**-99."""

MAX_KEY_BYTES = 4096
"""Maximum size of a key; callers' heads are limited to 16 KB as a whole by default."""

_CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that the value of a header cannot have."""

MAX_NAMED_WORKSPACES = 5
"""Most workspaces that the report of a shared key names."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """What a workspace may use, over all gateways together.

    ``per_second`` and ``burst`` are in tokens if ``counts_tokens``, else in requests. A request
    without token counts counts as ``plain_tokens`` tokens.
    """

    per_second: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: float = 0.0

    def units(self, tokens: int | None) -> float:
        """Return what a request counts as.

        Parameters
        ----------
        tokens
            Tokens of its prompt and the most of its answer, or None if it states none.

        Example
        -------
        >>> Allowance(1000.0, 1000.0, True, 200.0).units(None)
        200.0
        """
        if not self.counts_tokens:
            return 1.0
        return self.plain_tokens if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace; ``priority`` and ``allowance`` are None if the configuration sets none.

    Priority 0 is the highest. A workspace's priority takes precedence over that of a route.
    """

    name: str
    priority: int | None = None
    allowance: Allowance | None = None


@dataclass(frozen=True, slots=True)
class WorkspaceKeys:
    """A workspace with the digests of its keys."""

    workspace: Workspace
    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class InvalidWorkspace:
    """A part of a configuration that is ignored, where it is, and why; it never holds a key."""

    source: str
    error: str


class KeyRefusal(Enum):
    """Why a request may not pass."""

    MISSING = "key missing"
    UNKNOWN = "key unknown"
    SHARED = "key of several workspaces"
    WITHDRAWN = "key withdrawn while the request waited"


@dataclass(frozen=True, slots=True)
class Access:
    """Decision on one request by the key of its caller.

    ``workspace`` is None on public routes. ``is_checked`` is whether the configuration has
    workspaces: the caller's own headers of the key and of the workspace are then not passed on.
    """

    workspace: Workspace | None = None
    is_checked: bool = True
    refusal: KeyRefusal | None = None


UNCHECKED = Access(is_checked=False)
"""Decision on all requests if the configuration has no workspaces."""

_PUBLIC = Access()
_REFUSED = {refusal: Access(refusal=refusal) for refusal in KeyRefusal}


def check_key(key: object) -> bytes:
    """Return a key of a configuration as callers send it.

    Raise ``ValueError``, which does not show the key, if no caller can send it.
    """
    if type(key) is not str:
        raise ValueError(f"expected str, got {type(key).__name__}")
    if key.isascii() and key.isalnum() and len(key) <= MAX_KEY_BYTES:
        return key.encode()  # As nearly all are.
    try:
        data = key.encode()
    except UnicodeEncodeError:
        raise ValueError("cannot be encoded") from None
    if not 0 < len(data) <= MAX_KEY_BYTES:
        raise ValueError(f"{len(data)} bytes")
    if data != data.strip() or _CONTROL_BYTES.search(data):
        raise ValueError("cannot be sent in a header")
    return data


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is found; the table holds no keys."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


class WorkspaceTable:
    """Workspaces of one configuration by their names and keys.

    A key of two workspaces belongs to neither. Of several workspaces with one name, the first
    counts, and the others are ignored together with their keys. ``invalid`` holds all that is
    ignored.

    Parameters
    ----------
    items
        The workspaces with their keys, in the order of the configuration.
    invalid
        Parts of the configuration that could not be decoded.
    """

    def __init__(
        self, items: Iterable[WorkspaceKeys], invalid: Iterable[InvalidWorkspace] = ()
    ) -> None:
        self.workspace_by_name: dict[str, Workspace] = {}
        self._workspace_by_digest: dict[bytes, Workspace] = {}
        found = list(invalid)
        names_by_shared: dict[bytes, list[str]] = {}
        for item in items:
            workspace = item.workspace
            if workspace.name in self.workspace_by_name:
                found.append(InvalidWorkspace(workspace.name, "another workspace has this name"))
                continue
            self.workspace_by_name[workspace.name] = workspace
            for digest in item.digests:
                owner = self._workspace_by_digest.setdefault(digest, workspace)
                if owner is not workspace:
                    names_by_shared.setdefault(digest, [owner.name]).append(workspace.name)
        self._shared = frozenset(names_by_shared)
        self.invalid = (*found, *self._withdraw_shared(names_by_shared))

    def _withdraw_shared(
        self, names_by_shared: dict[bytes, list[str]]
    ) -> tuple[InvalidWorkspace, ...]:
        """Let the keys of several workspaces identify none, and report them."""
        for digest in names_by_shared:
            del self._workspace_by_digest[digest]
        return tuple(_shared_key(names) for names in names_by_shared.values())

    @property
    def key_count(self) -> int:
        """Number of keys that identify a workspace."""
        return len(self._workspace_by_digest)

    def identify(self, key: bytes | None, is_public: bool) -> Access:
        """Decide on a request.

        Parameters
        ----------
        key
            Key that the caller sent, or None.
        is_public
            Whether the route needs no key.

        Example
        -------
        >>> item = WorkspaceKeys(Workspace("w"), (key_digest(b"k"),))
        >>> WorkspaceTable([item]).identify(b"k", False).workspace.name
        'w'
        """
        if is_public:
            return _PUBLIC
        if not key:
            return _REFUSED[KeyRefusal.MISSING]
        digest = key_digest(key)
        workspace = self._workspace_by_digest.get(digest)
        if workspace is not None:
            return Access(workspace)
        is_shared = digest in self._shared
        return _REFUSED[KeyRefusal.SHARED if is_shared else KeyRefusal.UNKNOWN]


def _shared_key(names: list[str]) -> InvalidWorkspace:
    """Report a key of several workspaces, which is not named itself."""
    others = ", ".join(dict.fromkeys(names[1 : 1 + MAX_NAMED_WORKSPACES]))
    return InvalidWorkspace(names[0], f"has a key that others have too: {others}")
