"""Clients of external services for the parts of a process, passed in when it is composed."""

from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.backends.base import EngineClient, PlainClient
from pimentoquay.messages.cluster import Member
from pimentoquay.services.base import LogClient, MembershipClient, WeightStoreClient

__all__ = ["Ports"]


@dataclass(frozen=True)
class Ports:
    """Clients of the backend servers and platform services; tests replace them with fakes."""

    engine: Callable[[Member], EngineClient]
    plain: Callable[[Member], PlainClient]
    log: LogClient
    membership: MembershipClient
    weight_store: WeightStoreClient
