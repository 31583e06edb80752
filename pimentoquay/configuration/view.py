"""An entry process's copy of the configuration, with lookup of workspaces by bearer key.

Only the SHA-256 hash of a bearer key is ever published, stored or compared.

Example
-------
::

    view = ConfigurationView()
    view.apply(entries)                      # each ConfigurationEntries message, in order
    resolved = view.workspace_of_key("secret")
    kind = kind_of(resolved.workspace, "diag-llm", "diagnosis")
"""

import hashlib
from dataclasses import dataclass

from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.relay import EntriesReceiver
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.workspaces import KindSpec, ModelSpec, ServiceSpec, Workspace

__all__ = [
    "ConfigurationView",
    "ResolvedWorkspace",
    "hash_of_key",
    "kind_of",
    "model_of",
    "service_of",
]


@dataclass(frozen=True)
class ResolvedWorkspace:
    """A workspace at one version, which a request uses until it ends."""

    workspace: Workspace
    version: int


def hash_of_key(bearer_key: str) -> str:
    """Return the SHA-256 hash of a bearer key in hexadecimal."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def kind_of(workspace: Workspace, model: str, kind_name: str = "") -> KindSpec | None:
    """Return a workspace's kind of request for a model.

    Without a name the first kind of the model in the document is returned; ``None`` if the
    workspace has no such kind.
    """
    for kind in workspace.kinds:
        if kind.model == model and kind_name in ("", kind.name):
            return kind
    return None


def model_of(workspace: Workspace, model: str) -> ModelSpec | None:
    """Return a workspace's model by name, or ``None``."""
    return next((item for item in workspace.models if item.name == model), None)


def service_of(workspace: Workspace, service: str) -> ServiceSpec | None:
    """Return a workspace's plain service by name, or ``None``."""
    return next((item for item in workspace.services if item.name == service), None)


class ConfigurationView:
    """The configuration in force, as received by an entry process."""

    def __init__(self) -> None:
        self._state: ConfigurationState | None = None
        self._receiver = EntriesReceiver()
        self._name_by_hash: dict[str, str] = {}
        self._hashes_by_name: dict[str, tuple[str, ...]] = {}

    @property
    def is_ready(self) -> bool:
        """Whether any configuration is in force."""
        return self._state is not None

    @property
    def offset(self) -> int:
        """Number of log records replayed; -1 before any configuration is in force."""
        return -1 if self._state is None else self._state.offset

    def apply(self, entries: ConfigurationEntries) -> bool:
        """Apply a message; return whether the view advanced. Its offset never decreases.

        The messages of a channel have to be applied in order. A new channel starts with the whole
        configuration.
        """
        before = self.offset
        self._state = self._receiver.add(self._state, entries)
        if self._state is None or self._state.offset == before:
            return False
        self._update_key_index(max(before, -1) if entries.after_offset >= 0 else -1)
        return True

    def workspace_of_key(self, bearer_key: str) -> ResolvedWorkspace | None:
        """Return the workspace that a bearer key belongs to, or ``None``."""
        name = self._name_by_hash.get(hash_of_key(bearer_key))
        return None if name is None else self.workspace_of_name(name)

    def workspace_of_name(self, name: str) -> ResolvedWorkspace | None:
        """Return a workspace in force by name, or ``None``."""
        entry = self._state.entry_by_name.get(name) if self._state is not None else None
        if entry is None or entry.record.workspace is None:
            return None
        return ResolvedWorkspace(entry.record.workspace, entry.version)

    def _update_key_index(self, after_offset: int) -> None:
        assert self._state is not None
        if after_offset < 0:
            self._name_by_hash.clear()
            self._hashes_by_name.clear()
        for name, entry in self._state.entry_by_name.items():
            if entry.version <= after_offset:
                continue
            for key_hash in self._hashes_by_name.pop(name, ()):
                if self._name_by_hash.get(key_hash) == name:
                    del self._name_by_hash[key_hash]
            if entry.record.workspace is not None:
                self._hashes_by_name[name] = entry.record.workspace.key_hashes
                for key_hash in entry.record.workspace.key_hashes:
                    self._name_by_hash[key_hash] = name
