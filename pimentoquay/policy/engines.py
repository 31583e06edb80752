"""Load of one engine, as the ledger of its shard accounts for it."""

import math
from dataclasses import dataclass, field

from pimentoquay.backends.base import EngineRole
from pimentoquay.policy.links import LinkLoad

__all__ = ["EngineLoad"]

MAX_PROMISED_SLOTS = 1
"""Maximum number of an engine's slots that are promised before they come free."""


@dataclass
class EngineLoad:
    """Load of one engine; times in seconds, memory in tokens of KV cache.

    ``reserved`` counts the slots promised to requests in prefill or transfer, and ``transferring``
    those of them in transfer. ``decoding`` counts the slots in use; ``release_rate`` is the number
    of them that is expected to come free per second. ``prefill_count`` counts the prefills in
    flight; the engine is expected to be idle again at ``prefill_free_at``. ``link`` holds the
    transfers to and from the engine. ``foreign_slots`` and ``foreign_kv`` are what the engine
    reports as used although no grant of the shard accounts for it.
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
        """Whether the engine's role allows prefill."""
        return self.role is not EngineRole.DECODE

    @property
    def can_decode(self) -> bool:
        """Whether the engine's role allows decoding."""
        return self.role is not EngineRole.PREFILL

    def free_slots(self) -> int:
        """Return the number of slots neither used nor promised; negative if too many are."""
        return self.slots - self.reserved - self.decoding - self.foreign_slots

    def idle_slots(self) -> int:
        """Return the number of slots without KV cache, including those promised to prefills."""
        return self.slots - self.transferring - self.decoding - self.foreign_slots

    def rescue_slots(self) -> int:
        """Return the number of slots available to requests whose KV cache is about to expire."""
        return self.free_slots() if self.can_prefill else self.idle_slots()

    def slot_wait(self, share: float) -> float:
        """Return the seconds until a slot comes free that can be promised now.

        ``share`` is the share of the expected releases that may be promised in advance. The result
        is infinite if no further slot can be promised.
        """
        missing = 1 - self.free_slots()
        if missing <= 0:
            return 0.0
        rate = self.release_rate * share
        if self.can_prefill:
            # A request that was prefilled on its decode engine cannot be moved to another one if
            # its slot is taken first.
            return math.inf
        may_promise = rate > 0 and missing <= min(self.decoding, MAX_PROMISED_SLOTS)
        return missing / rate if may_promise else math.inf

    def free_kv(self) -> int:
        """Return the KV memory that is neither used nor promised, in tokens."""
        return self.kv_capacity - self.kv_reserved - self.foreign_kv

    def is_open_for_prefill(self, lead: float, now: float) -> bool:
        """Return whether one more prefill may be sent to the engine.

        That is allowed if the engine is idle, or has a single prefill that is expected to end
        within ``lead`` seconds. While a prefill is overdue, no further one is sent until the engine
        has reported its end.
        """
        if self.prefill_count == 0:
            return True
        return self.prefill_count == 1 and now < self.prefill_free_at <= now + lead
