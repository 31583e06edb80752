"""What one engine has taken on, as the ledger of its shard counts it."""

import math
from dataclasses import dataclass, field

from pimentoquay.backends.base import EngineRole
from pimentoquay.policy.links import LinkLoad

__all__ = ["EngineLoad"]

MAX_PROMISES = 1
"""Slots of one engine that may be promised before they are free."""


@dataclass
class EngineLoad:
    """The commitments of one engine; times in seconds, memory in tokens of KV cache.

    ``reserved`` counts slots promised to requests in prefill or transfer, ``transferring`` those
    of them in transfer, and ``decoding`` the slots in use, of which ``release_rate`` are expected
    to end per second. ``link`` holds the transfers to and from the engine. What the engine itself
    reports and no grant explains is ``foreign``.
    """

    name: str
    role: EngineRole
    slots: int
    kv_capacity: int
    data_centre: str = ""
    reserved: int = 0
    transferring: int = 0
    decoding: int = 0
    release_rate: float = 0.0
    kv_reserved: int = 0
    prefill_count: int = 0
    prefill_free_at: float = 0.0
    link_free_at: float = 0.0
    foreign_slots: int = 0
    foreign_kv: int = 0
    is_usable: bool = False
    version: str = ""
    link: LinkLoad = field(default_factory=LinkLoad)

    @property
    def can_prefill(self) -> bool:
        """Tell whether the engine's role allows prefill."""
        return self.role is not EngineRole.DECODE

    @property
    def can_decode(self) -> bool:
        """Tell whether the engine's role allows decoding."""
        return self.role is not EngineRole.PREFILL

    def free_slots(self) -> int:
        """Return the slots that are neither used nor promised; negative if too many are."""
        return self.slots - self.reserved - self.decoding - self.foreign_slots

    def idle_slots(self) -> int:
        """Return the slots in which the engine itself holds nothing, promised or not."""
        return self.slots - self.transferring - self.decoding - self.foreign_slots

    def rescue_slots(self) -> int:
        """Return the slots that KV in danger of expiry may take."""
        return self.free_slots() if self.can_prefill else self.idle_slots()

    def slot_wait(self, share: float) -> float:
        """Return the seconds until a slot may be promised, counting a share of the releases.

        It is infinite when as many are promised already as may be.
        """
        missing = 1 - self.free_slots()
        if missing <= 0:
            return 0.0
        rate = self.release_rate * share
        if self.can_prefill:
            # What it prefills for itself cannot be moved if another takes the slot first.
            return math.inf
        may_promise = rate > 0 and missing <= min(self.decoding, MAX_PROMISES)
        return missing / rate if may_promise else math.inf

    def free_kv(self) -> int:
        """Return the KV memory that is not promised."""
        return self.kv_capacity - self.kv_reserved - self.foreign_kv

    def is_open_for_prefill(self, lead: float, now: float) -> bool:
        """Tell whether one more prefill may be sent, at most ``lead`` seconds before idle.

        A prefill that is overdue closes the engine until its report has come.
        """
        if self.prefill_count == 0:
            return True
        return self.prefill_count == 1 and now < self.prefill_free_at <= now + lead
