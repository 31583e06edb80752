"""Local events of the configuration part."""

from collections.abc import Mapping
from dataclasses import dataclass

from pimentoquay.messages.workspaces import Workspace

__all__ = ["ConfigurationInForce"]


@dataclass(frozen=True)
class ConfigurationInForce:
    """The configuration in force on this VM, published on each advance once it is ready.

    ``offset`` is the number of log records replayed. ``version_by_name`` and ``workspace_by_name``
    hold no removed workspaces; subscribers must not change them.
    """

    offset: int
    workspace_by_name: Mapping[str, Workspace]
    version_by_name: Mapping[str, int]
