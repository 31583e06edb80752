"""What the configuration in force wants of the engines of a pool; pure."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from pimentoquay.messages.workspaces import Workspace

__all__ = ["WantedPool", "wanted_pools"]


@dataclass(frozen=True)
class WantedPool:
    """The version that a pool's engines run and the adapters that they hold."""

    version: str
    adapters: tuple[str, ...]


def wanted_pools(workspaces: Iterable[Workspace]) -> dict[str, WantedPool]:
    """Return what is wanted of each pool, keyed by model.

    An engine holds one version. Where workspaces name several, the one with the greatest weight
    of workspaces wins, and the greater name among equals. Adapters of all workspaces are held.
    """
    weight_by_model: dict[str, Counter[str]] = {}
    adapters_by_model: dict[str, set[str]] = {}
    for workspace in workspaces:
        for model in workspace.models:
            weights = weight_by_model.setdefault(model.name, Counter())
            if model.version:
                weights[model.version] += max(1, workspace.weight)
            if model.adapter:
                adapters_by_model.setdefault(model.name, set()).add(model.adapter)
    return {
        name: WantedPool(
            max(weights, key=lambda version: (weights[version], version), default=""),
            tuple(sorted(adapters_by_model.get(name, ()))),
        )
        for name, weights in weight_by_model.items()
    }
