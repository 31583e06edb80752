"""Factories of clients for the backend servers on the membership list, by plug-in name."""

from collections.abc import Callable

from pimentoquay.backends.base import EngineClient, PlainClient
from pimentoquay.kernel import find_plugin
from pimentoquay.messages.cluster import Member

__all__ = ["engine_client_factory", "plain_client_factory"]


def engine_client_factory(plugin_name: str = "engine-http") -> Callable[[Member], EngineClient]:
    """Return a factory of engine clients; ``LookupError`` for an unknown plug-in."""
    factory = find_plugin("backend", plugin_name)
    return lambda member: factory(member.address)


def plain_client_factory(plugin_name: str = "plain-http") -> Callable[[Member], PlainClient]:
    """Return a factory of plain service clients; ``LookupError`` for an unknown plug-in."""
    factory = find_plugin("backend", plugin_name)
    return lambda member: factory(member.address)
