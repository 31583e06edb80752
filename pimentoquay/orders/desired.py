"""Derives the desired state of each pool's engines from the configuration, without I/O."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from pimentoquay.messages.workspaces import Workspace

__all__ = ["DesiredPool", "desired_pools"]


@dataclass(frozen=True)
class DesiredPool:
    """Version of the weights and adapters that all engines of a pool should hold."""

    version: str
    adapters: tuple[str, ...]


def desired_pools(workspaces: Iterable[Workspace]) -> dict[str, DesiredPool]:
    """Return the desired state of each pool by model name.

    An engine holds one version. If workspaces name different versions, the version with the
    greatest total weight of workspaces is used; of several, the one whose name sorts last. Engines
    hold the adapters of all workspaces.
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
        name: DesiredPool(
            max(weights, key=lambda version: (weights[version], version), default=""),
            tuple(sorted(adapters_by_model.get(name, ()))),
        )
        for name, weights in weight_by_model.items()
    }
