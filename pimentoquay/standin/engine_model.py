"""Durations and limits of a stand-in engine, and the interfaces from which it fetches data."""

from dataclasses import dataclass
from typing import Protocol

from pimentoquay.kernel.settings import setting

__all__ = ["EngineModel", "KvExport", "KvSource", "WeightSource"]


@dataclass(frozen=True)
class EngineModel:
    """Durations and limits of an engine; times are in seconds, sizes in tokens unless stated."""

    decode_slots: int = setting(
        help="maximum number of requests decoded at once", default=20, low=1, high=1000
    )
    kv_capacity_tokens: int = setting(
        help="capacity of the KV memory", default=400_000, low=1, high=100_000_000, unit="tokens"
    )
    step_seconds: float = setting(
        help="duration of a decode step without streams",
        default=0.020,
        low=0.0001,
        high=10.0,
        unit="s",
    )
    step_seconds_per_stream: float = setting(
        help="time that each stream adds to a decode step",
        default=0.0005,
        low=0,
        high=1.0,
        unit="s",
    )
    prefill_seconds: float = setting(
        help="fixed part of the duration of a prefill", default=0.005, low=0, high=10.0, unit="s"
    )
    prefill_seconds_per_token: float = setting(
        help="time that each uncached prompt token adds to a prefill",
        default=0.0005,
        low=0,
        high=1.0,
        unit="s",
    )
    mixed_slowdown: float = setting(
        help="factor by which a running prefill lengthens decode steps",
        default=1.5,
        low=1.0,
        high=100.0,
    )
    prefill_queue: int = setting(
        help="number of unfinished prefills at which more are refused",
        default=64,
        low=1,
        high=100_000,
    )
    kv_lifetime: float = setting(
        help="time after which KV cache that is not fetched expires",
        default=0.8,
        low=0.01,
        high=60.0,
        unit="s",
    )
    export_hold: float = setting(
        help="time for which a started transfer keeps KV cache from expiring",
        default=1.0,
        low=0.01,
        high=60.0,
        unit="s",
    )
    kv_bytes_per_token: int = setting(
        help="size of the KV cache per token",
        default=160_000,
        low=1,
        high=100_000_000,
        unit="bytes",
    )
    link_rate: float = setting(
        help="rate of the network link in each direction",
        default=2.5e9,
        low=1.0,
        high=1e12,
        unit="bytes/s",
    )
    cache_tokens: int = setting(
        help="capacity of the prefix cache", default=200_000, low=0, high=100_000_000, unit="tokens"
    )
    event_delay: float = setting(
        help="delay of cache events", default=1.0, low=0.0, high=60.0, unit="s"
    )
    event_loss: float = setting(
        help="fraction of cache events that are lost", default=0.02, low=0.0, high=1.0
    )
    status_lag: float = setting(
        help="time between updates of the engine's status report",
        default=0.3,
        low=0.0,
        high=60.0,
        unit="s",
    )
    finished_retention: float = setting(
        help="time for which a finished stream can be resumed",
        default=5.0,
        low=0.0,
        high=600.0,
        unit="s",
    )
    load_seconds: float = setting(
        help="duration of loading a version or adapter, besides its fetch",
        default=1.0,
        low=0.0,
        high=600.0,
        unit="s",
    )
    role_change_cuts: bool = setting(
        help="whether a change of role drops all requests", default=False
    )
    checks_fencing: bool = setting(
        help="whether orders with an old fencing number are refused", default=True
    )
    seed: int = setting(
        help="seed of the random choice of lost cache events", default=1, low=0, high=2**31
    )


@dataclass(frozen=True)
class KvExport:
    """Description of a KV cache that is about to be fetched from a source engine.

    ``computed_tokens`` is the number of prompt tokens that the prefill computed, that is, without
    those found in the prefix cache.
    """

    prompt: str
    prompt_tokens: int
    computed_tokens: int
    kv_bytes: int


class KvSource(Protocol):
    """Interface of the sending engine of a KV transfer; each call may raise an engine error."""

    async def export_begin(self, request_id: str, attempt: int) -> KvExport:
        """Keep the KV cache for the transfer and return its description."""

    async def export_move(self, request_id: str, attempt: int) -> None:
        """Wait until the source's link has sent the KV cache."""

    async def export_end(self, request_id: str, attempt: int, moved: bool) -> None:
        """Free the KV cache if it was moved; otherwise keep it until it expires."""


class WeightSource(Protocol):
    """Interface from which an engine fetches weights."""

    async def fetch(self, model: str, version: str) -> None:
        """Wait until the weights of a version have been read."""
