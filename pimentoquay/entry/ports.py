"""Everything outside the entry process that it may call, besides other processes of its own."""

from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.backends.base import EngineClient, PlainClient
from pimentoquay.messages.cluster import Member

__all__ = ["EntryPorts"]


@dataclass(frozen=True)
class EntryPorts:
    """The clients of backend servers; tests put stand-ins here."""

    engine: Callable[[Member], EngineClient]
    plain: Callable[[Member], PlainClient]
