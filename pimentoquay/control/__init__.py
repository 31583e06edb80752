"""The control process of a VM: its composition root and the parts it runs.

``load_parts`` imports every module that registers a part or a client.
"""

from importlib import import_module

__all__ = ["PART_MODULES", "load_parts"]

PART_MODULES = (
    "pimentoquay.backends.engine_http",
    "pimentoquay.backends.plain_http",
    "pimentoquay.membership.part",
    "pimentoquay.configuration.part",
    "pimentoquay.control.operator",
    "pimentoquay.scheduler.part",
    "pimentoquay.orders.part",
    "pimentoquay.orders.once_only",
    "pimentoquay.control.usage",
)
"""Modules whose import registers a plug-in of the control process."""


def load_parts() -> None:
    """Import every plug-in module, so that each registers itself."""
    for name in PART_MODULES:
        import_module(name)
