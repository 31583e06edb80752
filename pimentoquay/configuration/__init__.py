"""Workspace configuration: templates, documents, replay of the log, publishing and lookup."""

from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.view import (
    ConfigurationView,
    ResolvedWorkspace,
    hash_of_key,
    kind_of,
    model_of,
    service_of,
)

__all__ = [
    "ConfigurationInForce",
    "ConfigurationState",
    "ConfigurationView",
    "ResolvedWorkspace",
    "hash_of_key",
    "kind_of",
    "model_of",
    "service_of",
]
