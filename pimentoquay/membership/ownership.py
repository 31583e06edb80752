"""Division of engines into shards, and the owner of each shard by rendezvous hashing.

The functions are pure, so all VMs with the same members and live VMs compute the same owner.
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
    "HasLocation",
    "Shard",
    "owner_of",
    "shard_name",
    "shard_owner",
    "shards_of",
]

WEIGHT_CACHE_SIZE = 65536
"""Number of cached rendezvous hashes.

One is needed for each pair of a shard and a VM that may own it, and one for each engine.
"""

MAX_SHARD_ENGINES = 16
"""Maximum number of engines in the ledger of one scheduler."""


class HasLocation(Protocol):
    """An object with a location, such as a member or a process identity."""

    @property
    def region(self) -> str:
        """Return the name of the region."""

    @property
    def data_centre(self) -> str:
        """Return the name of the data centre."""


@dataclass(frozen=True)
class Shard:
    """Engines of one pool that are managed by one scheduler.

    They are in one data centre, unless the pool has few engines in several data centres of a
    region. These form one shard, whose ``data_centre`` is then the name of the region.
    """

    name: str
    pool: str
    data_centre: str
    engines: tuple[Member, ...]

    def is_near(self, location: HasLocation) -> bool:
        """Return whether a location is in the shard's data centre or region."""
        return self.data_centre in (location.data_centre, location.region)


def owner_of(key: str, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest rendezvous hash for ``key``, empty if none."""
    return max(candidates, key=lambda name: (_weight(key, name), name), default="")


def shard_owner(shard: Shard, members: Iterable[Member], live_vms: Iterable[str]) -> str:
    """Return the live VM that schedules a shard's engines, empty if none.

    It is chosen among the VMs in the shard's data centre or region.
    """
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
    """Return the shards of all engines that are not leaving, by shard name."""
    engines_by_pool: dict[tuple[str, str], list[Member]] = defaultdict(list)
    for member in members:
        if member.kind is MemberKind.ENGINE and member.state is MemberState.LIVE:
            engines_by_pool[member.pool, member.region].append(member)
    shard_by_name = {}
    for (pool, region), engines in engines_by_pool.items():
        for location, near in _engines_by_location(region, engines).items():
            for shard in _split_into_shards(pool, location, near):
                shard_by_name[shard.name] = shard
    return shard_by_name


def _engines_by_location(region: str, engines: list[Member]) -> dict[str, list[Member]]:
    """Group the engines of a pool and region by data centre, or by region if they are few."""
    by_data_centre: dict[str, list[Member]] = defaultdict(list)
    for engine in engines:
        by_data_centre[engine.data_centre].append(engine)
    if len(by_data_centre) > 1 and len(engines) <= MAX_SHARD_ENGINES:
        return {region: engines}
    return by_data_centre


def _split_into_shards(pool: str, data_centre: str, engines: list[Member]) -> list[Shard]:
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


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
