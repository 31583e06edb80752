"""Rendezvous ownership: which VM schedules a shard, which shard an engine belongs to.

The functions are pure, so every VM that sees the same members names the same owner.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from pimentoquay.messages.cluster import Member, MemberKind, MemberState

__all__ = ["MAX_SHARD_ENGINES", "Shard", "owner_of", "shard_name", "shards_of"]

MAX_SHARD_ENGINES = 16
"""The most engines that one scheduler's ledger holds."""


@dataclass(frozen=True)
class Shard:
    """A part of one pool: engines of one model in one data centre with one scheduler."""

    name: str
    pool: str
    data_centre: str
    engines: tuple[Member, ...]


def owner_of(key: str, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest hash for ``key``, or an empty string if none."""
    return max(candidates, key=lambda name: (_weight(key, name), name), default="")


def shard_name(pool: str, data_centre: str, index: int) -> str:
    """Return the name of a shard, such as ``diag-llm@arima-hall#0``."""
    return f"{pool}@{data_centre}#{index}"


def shards_of(members: Iterable[Member]) -> dict[str, Shard]:
    """Divide the engines that are not leaving into shards, keyed by shard name."""
    engines_by_pool: dict[tuple[str, str], list[Member]] = defaultdict(list)
    for member in members:
        if member.kind is MemberKind.ENGINE and member.state is MemberState.LIVE:
            engines_by_pool[member.pool, member.data_centre].append(member)
    shard_by_name = {}
    for (pool, data_centre), engines in engines_by_pool.items():
        for shard in _divide(pool, data_centre, engines):
            shard_by_name[shard.name] = shard
    return shard_by_name


def _divide(pool: str, data_centre: str, engines: list[Member]) -> list[Shard]:
    count = -(-len(engines) // MAX_SHARD_ENGINES)
    ordered = sorted(engines, key=lambda engine: (_weight(pool, engine.name), engine.name))
    return [
        Shard(
            shard_name(pool, data_centre, index),
            pool,
            data_centre,
            tuple(sorted(ordered[index::count], key=lambda engine: engine.name)),
        )
        for index in range(count)
    ]


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
