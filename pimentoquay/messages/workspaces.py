"""Workspaces as they are published and kept in force (numbers 50 to 59)."""

from pimentoquay.messages.codec import message
from pimentoquay.messages.placement import Urgency

__all__ = ["ConfigurationRecord", "KindSpec", "ModelSpec", "ServiceSpec", "Workspace"]


@message(50)
class KindSpec:
    """One kind of request; targets are in seconds, sizes in tokens."""

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
    """A model that a workspace may use, with the version and adapter it wants."""

    name: str
    version: str
    adapter: str


@message(52)
class ServiceSpec:
    """A plain service that a workspace may call.

    ``once_only`` lists the paths whose calls are not idempotent; ``timeout`` is in seconds.
    """

    name: str
    once_only: tuple[str, ...]
    timeout: float


@message(53)
class Workspace:
    """One workspace: who may call, what, how urgently and how much at once."""

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
    """One change on the log.

    ``base`` is the version that the change was made from, 0 for a new workspace. ``version`` is
    0 in a new change, whose version is its own log offset plus one; a re-appended record carries
    the version it had. ``workspace`` is empty for a removal.
    """

    change_id: str
    name: str
    base: int
    version: int
    workspace: Workspace | None
    author: str
