"""Control process of a VM: its composition root, its program and the operator part.

``load_parts`` imports every module that registers a part or an engine client.
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
"""Modules that register a plug-in of the control process when they are imported."""


def load_parts() -> None:
    """Import every plug-in module, which registers its plug-ins."""
    for name in PART_MODULES:
        import_module(name)
