"""Registry of plug-ins.

A module registers a factory under a kind and a name when it is imported; the composition root looks
it up by both.

Example
-------
::

    @plugin("backend", "engine-http")
    class HttpEngineClient: ...

    factory = find_plugin("backend", "engine-http")
"""

from collections.abc import Callable
from typing import Any, TypeVar

__all__ = ["find_plugin", "plugin", "plugin_names"]

Factory = TypeVar("Factory", bound=Callable[..., Any])

_factories_by_kind: dict[str, dict[str, Callable[..., Any]]] = {}


def plugin(kind: str, name: str) -> Callable[[Factory], Factory]:
    """Register the decorated factory under ``kind`` and ``name``."""

    def register(factory: Factory) -> Factory:
        factory_by_name = _factories_by_kind.setdefault(kind, {})
        if name in factory_by_name and factory_by_name[name] is not factory:
            raise ValueError(f"plug-in {kind}/{name} is registered twice")
        factory_by_name[name] = factory
        return factory

    return register


def find_plugin(kind: str, name: str) -> Callable[..., Any]:
    """Return the factory registered under ``kind`` and ``name``, or raise ``LookupError``."""
    try:
        return _factories_by_kind[kind][name]
    except KeyError:
        known = ", ".join(plugin_names(kind)) or "none"
        raise LookupError(f"no plug-in {kind}/{name}; registered: {known}") from None


def plugin_names(kind: str) -> tuple[str, ...]:
    """Return the sorted names registered under a kind."""
    return tuple(sorted(_factories_by_kind.get(kind, {})))
