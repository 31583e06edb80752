"""Interfaces to the backend servers, the only outside systems that the entry calls."""

from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.backends.base import EngineClient, PlainClient
from pimentoquay.messages.cluster import Member

__all__ = ["EntryPorts"]


@dataclass(frozen=True)
class EntryPorts:
    """Factories of clients for engines and plain services; tests pass stand-ins."""

    engine: Callable[[Member], EngineClient]
    plain: Callable[[Member], PlainClient]
