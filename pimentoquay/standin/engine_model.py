"""The costs and limits of a stand-in engine, and the peers that it exchanges data with."""

from dataclasses import dataclass
from typing import Protocol

from pimentoquay.kernel.settings import setting

__all__ = ["EngineModel", "KvOffer", "KvSource", "WeightSource"]


@dataclass(frozen=True)
class EngineModel:
    """Costs and limits; times in seconds, sizes in tokens unless a unit is named."""

    decode_slots: int = setting(help="requests decoded at once", default=20, low=1, high=1000)
    kv_capacity_tokens: int = setting(
        help="KV memory", default=400_000, low=1, high=100_000_000, unit="tokens"
    )
    step_seconds: float = setting(
        help="one decode step", default=0.020, low=0.0001, high=10.0, unit="s"
    )
    step_seconds_per_stream: float = setting(
        help="added to a decode step by each stream", default=0.0005, low=0, high=1.0, unit="s"
    )
    prefill_seconds: float = setting(
        help="fixed cost of a prefill", default=0.005, low=0, high=10.0, unit="s"
    )
    prefill_seconds_per_token: float = setting(
        help="cost of a prompt token not cached", default=0.0005, low=0, high=1.0, unit="s"
    )
    mixed_slowdown: float = setting(
        help="factor on a decode step while a prefill runs", default=1.5, low=1.0, high=100.0
    )
    prefill_queue: int = setting(
        help="prefills waiting before more are refused", default=64, low=1, high=100_000
    )
    kv_lifetime: float = setting(
        help="life of KV that nobody fetches", default=0.8, low=0.01, high=60.0, unit="s"
    )
    export_hold: float = setting(
        help="how long a transfer under way keeps KV", default=1.0, low=0.01, high=60.0, unit="s"
    )
    kv_bytes_per_token: int = setting(
        help="size of KV", default=160_000, low=1, high=100_000_000, unit="bytes"
    )
    link_rate: float = setting(
        help="rate of each direction of the link",
        default=2.5e9,
        low=1.0,
        high=1e12,
        unit="bytes/s",
    )
    cache_tokens: int = setting(
        help="memory of the prefix cache", default=200_000, low=0, high=100_000_000, unit="tokens"
    )
    event_delay: float = setting(
        help="delay of cache events", default=1.0, low=0.0, high=60.0, unit="s"
    )
    event_loss: float = setting(help="share of cache events lost", default=0.02, low=0.0, high=1.0)
    status_lag: float = setting(
        help="lag of the engine's report", default=0.3, low=0.0, high=60.0, unit="s"
    )
    finished_retention: float = setting(
        help="how long a finished stream can be resumed",
        default=5.0,
        low=0.0,
        high=600.0,
        unit="s",
    )
    load_seconds: float = setting(
        help="load of a version or adapter beside its fetch",
        default=1.0,
        low=0.0,
        high=600.0,
        unit="s",
    )
    role_change_cuts: bool = setting(
        help="lose everything held when the role changes", default=False
    )
    checks_fencing: bool = setting(help="refuse orders with an old fencing number", default=True)
    seed: int = setting(help="seed of lost cache events", default=1, low=0, high=2**31)


@dataclass(frozen=True)
class KvOffer:
    """What a source engine tells of a KV cache that is about to be fetched."""

    prompt: str
    prompt_tokens: int
    computed_tokens: int
    kv_bytes: int


class KvSource(Protocol):
    """The exporting side of a KV transfer; each call may raise an engine error."""

    async def export_begin(self, request_id: str, attempt: int) -> KvOffer:
        """Keep the KV for the transfer and describe it."""

    async def export_move(self, request_id: str, attempt: int) -> None:
        """Wait until the KV has passed the source's link."""

    async def export_end(self, request_id: str, attempt: int, moved: bool) -> None:
        """Free the KV if it moved, else let it live out its time."""


class WeightSource(Protocol):
    """Where an engine fetches weights."""

    async def fetch(self, model: str, version: str) -> None:
        """Wait until the weights of one version have been read."""
