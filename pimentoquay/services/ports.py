"""Everything outside the process that a part may call, handed in by the composition root."""

from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.backends.base import EngineClient, PlainClient
from pimentoquay.messages.cluster import Member
from pimentoquay.services.base import LogClient, MembershipClient, WeightStoreClient

__all__ = ["Ports"]


@dataclass(frozen=True)
class Ports:
    """The clients of one process; tests put stand-ins here."""

    engine: Callable[[Member], EngineClient]
    plain: Callable[[Member], PlainClient]
    log: LogClient
    membership: MembershipClient
    weight_store: WeightStoreClient
