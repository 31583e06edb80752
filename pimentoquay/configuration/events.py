"""Local events of the configuration part."""

from collections.abc import Mapping
from dataclasses import dataclass

from pimentoquay.messages.workspaces import Workspace

__all__ = ["ConfigurationInForce"]


@dataclass(frozen=True)
class ConfigurationInForce:
    """The configuration that this VM serves by; published at each advance once it is ready.

    ``offset`` is the count of log records folded. ``version_by_name`` and ``workspace_by_name``
    hold live workspaces only and must not be changed by subscribers.
    """

    offset: int
    workspace_by_name: Mapping[str, Workspace]
    version_by_name: Mapping[str, int]
