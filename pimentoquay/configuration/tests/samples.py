"""Sample workspaces and records."""

from pimentoquay.configuration.view import hash_of_key
from pimentoquay.messages import encode
from pimentoquay.messages.placement import Urgency
from pimentoquay.messages.workspaces import (
    ConfigurationRecord,
    KindSpec,
    ModelSpec,
    ServiceSpec,
    Workspace,
)


def workspace(name: str, weight: int = 1) -> Workspace:
    """Return a small workspace; tests use ``weight`` to distinguish its versions."""
    return Workspace(
        name,
        "print-office",
        (hash_of_key(f"key-of-{name}"),),
        (ModelSpec("diag-llm", "v1", ""),),
        (KindSpec("diagnosis", "diag-llm", Urgency.NORMAL, 1.1, 0.055, 8000, 300, True),),
        (ServiceSpec("toner", ("/orders",), 5.0),),
        40,
        weight,
    )


def change(change_id: str, name: str, base: int, weight: int | None = 1) -> ConfigurationRecord:
    """Return a change of a workspace, or its removal if ``weight`` is ``None``."""
    content = None if weight is None else workspace(name, weight)
    return ConfigurationRecord(change_id, name, base, 0, content, "ann")


def change_data(change_id: str, name: str, base: int, weight: int | None = 1) -> bytes:
    """Return an encoded change."""
    return encode(change(change_id, name, base, weight))
