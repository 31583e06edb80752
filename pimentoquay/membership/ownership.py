"""Rendezvous ownership: which VM schedules a shard, which shard an engine belongs to.

The functions are pure, so every VM that sees the same members names the same owner.
"""

import functools
import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from pimentoquay.messages.cluster import Member, MemberKind, MemberState

__all__ = [
    "MAX_SHARD_ENGINES",
    "Place",
    "Shard",
    "owner_of",
    "shard_name",
    "shard_owner",
    "shards_of",
]

WEIGHTS_KEPT = 65536
"""Hashes kept: of each shard with the VMs near it, and of each engine."""

MAX_SHARD_ENGINES = 16
"""The most engines that one scheduler's ledger holds."""


class Place(Protocol):
    """Anything that is somewhere: a member or a process."""

    @property
    def region(self) -> str:
        """Return the region's name."""

    @property
    def data_centre(self) -> str:
        """Return the data centre's name."""


@dataclass(frozen=True)
class Shard:
    """A part of one pool with one scheduler: engines of one model in one data centre.

    A pool with few engines in several data centres of a region is one shard for all of them;
    ``data_centre`` then holds the region's name.
    """

    name: str
    pool: str
    data_centre: str
    engines: tuple[Member, ...]

    def is_near(self, place: Place) -> bool:
        """Tell whether a place is in the shard's data centre, or in its region."""
        return self.data_centre in (place.data_centre, place.region)


def owner_of(key: str, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest hash for ``key``, or an empty string if none."""
    return max(candidates, key=lambda name: (_weight(key, name), name), default="")


def shard_owner(shard: Shard, members: Iterable[Member], live_vms: Iterable[str]) -> str:
    """Return the live VM near a shard that schedules it, or an empty string if none."""
    live = set(live_vms)
    candidates = [
        member.name
        for member in members
        if member.kind is MemberKind.ENTRY_VM and member.name in live and shard.is_near(member)
    ]
    return owner_of(shard.name, candidates)


def shard_name(pool: str, data_centre: str, index: int) -> str:
    """Return the name of a shard, such as ``diag-llm@arima-hall#0``."""
    return f"{pool}@{data_centre}#{index}"


def shards_of(members: Iterable[Member]) -> dict[str, Shard]:
    """Divide the engines that are not leaving into shards, keyed by shard name."""
    engines_by_pool: dict[tuple[str, str], list[Member]] = defaultdict(list)
    for member in members:
        if member.kind is MemberKind.ENGINE and member.state is MemberState.LIVE:
            engines_by_pool[member.pool, member.region].append(member)
    shard_by_name = {}
    for (pool, region), engines in engines_by_pool.items():
        for place, near in _engines_by_place(region, engines).items():
            for shard in _divide(pool, place, near):
                shard_by_name[shard.name] = shard
    return shard_by_name


def _engines_by_place(region: str, engines: list[Member]) -> dict[str, list[Member]]:
    """Group the engines of one pool and region by data centre, or as one if they are few."""
    by_data_centre: dict[str, list[Member]] = defaultdict(list)
    for engine in engines:
        by_data_centre[engine.data_centre].append(engine)
    if len(by_data_centre) > 1 and len(engines) <= MAX_SHARD_ENGINES:
        return {region: engines}
    return by_data_centre


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


@functools.lru_cache(maxsize=WEIGHTS_KEPT)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
