"""The gateway: an HTTP reverse proxy between callers and engines, one process per VM.

A gateway forwards whole HTTP requests and needs to know only their route, their size and whether
they may be sent again. It stores nothing on disk: the configuration and the list of engines come
from the platform's store and from peer gateways, and its reservations of engine memory end with
its connections.

The public names are imported when they are first used: ``python -m`` imports the package before
``__main__`` can ignore signals, and the modules behind the names take long to import.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pimentoquay.gateway.compose import compose_gateway
    from pimentoquay.gateway.lifecycle import Gateway

__all__ = ["Gateway", "compose_gateway"]

_MODULE_BY_NAME = {
    "Gateway": "pimentoquay.gateway.lifecycle",
    "compose_gateway": "pimentoquay.gateway.compose",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
