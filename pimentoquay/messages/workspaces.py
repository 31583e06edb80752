"""Definitions of workspaces and the log record of their changes (50 to 54)."""

from pimentoquay.messages.codec import message
from pimentoquay.messages.placement import Urgency

__all__ = ["ConfigurationRecord", "KindSpec", "ModelSpec", "ServiceSpec", "Workspace"]


@message(50)
class KindSpec:
    """One kind of request: its model, urgency, latency targets in seconds and token limits."""

    name: str
    model: str
    urgency: Urgency
    first_token_target: float
    token_interval_target: float
    max_prompt_tokens: int
    max_tokens: int
    idempotent: bool


@message(51)
class ModelSpec:
    """A model that a workspace may use, with its version and adapter."""

    name: str
    version: str
    adapter: str


@message(52)
class ServiceSpec:
    """A plain service (a backend server that runs no model) that a workspace may call.

    ``once_only`` lists the paths whose calls are not idempotent; ``timeout`` is in seconds.
    """

    name: str
    once_only: tuple[str, ...]
    timeout: float


@message(53)
class Workspace:
    """One workspace: its access keys, models, request kinds, services and limits."""

    name: str
    template: str
    key_hashes: tuple[str, ...]
    models: tuple[ModelSpec, ...]
    kinds: tuple[KindSpec, ...]
    services: tuple[ServiceSpec, ...]
    max_concurrent: int
    weight: int


@message(54)
class ConfigurationRecord:
    """One change of a workspace on the configuration log.

    ``base`` is the version that the change was based on, 0 for a new workspace. ``version`` is 0
    in a new change, whose version is its own log offset plus one; a record that is appended again
    keeps its version. ``workspace`` is ``None`` for a removal.
    """

    change_id: str
    name: str
    base: int
    version: int
    workspace: Workspace | None
    author: str
