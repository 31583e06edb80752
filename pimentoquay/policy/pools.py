"""Pools of engines, each placed by one gateway, and the choice of a pool for a stream.

Load pattern: hundreds of VMs that each receive a few streams a second for the same engines. If each
VM placed its streams by what it hears of the others, all would have to tell all of every stream,
and would still place streams on loads that are a tenth of a second old. The engines of a data
centre therefore form pools, and one gateway of that data centre, the coordinator, places all
streams of a pool. The other VMs know only a summary of each pool, and ask the coordinator of one
with room. The messages per stream stay the same however many VMs there are.

Failure pattern: a coordinator that fails, is cut off or is replaced. Its state is rebuilt from the
reports of the gateways that have streams in the pool, so no agreement is needed: two gateways that
both believe to be the coordinator may overbook an engine for a moment, and the engine then refuses.
"""

import math
import zlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from pimentoquay.messages.pools import PoolKey
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.mesh_plan import hash_rank

__all__ = ["PoolKey", "PoolState", "choose_pool", "coordinator_of", "pools_of"]

ENGINES_PER_POOL = 32
"""Maximum number of engines per pool, so that one process can place all streams of a pool."""


@dataclass(frozen=True)
class PoolState:
    """Summary of a pool, in tokens of usable memory.

    ``largest_free`` is the largest free memory of one engine, ``waiting`` what streams wait for.
    """

    capacity: int
    free: int
    largest_free: int
    waiting: int

    def part(self, share: float) -> "PoolState":
        """Return the state as a stream sees it that a share of the engines may run."""
        return replace(self, capacity=int(share * self.capacity), free=int(share * self.free))


def pools_of(engines: Iterable[EngineEntry]) -> dict[PoolKey, tuple[EngineEntry, ...]]:
    """Return the engines of each pool; a data centre with many engines has several pools."""
    by_place: dict[tuple[str, str], list[EngineEntry]] = {}
    for engine in engines:
        by_place.setdefault((engine.service, engine.data_centre), []).append(engine)
    pools: dict[PoolKey, list[EngineEntry]] = {}
    for (service, data_centre), placed in by_place.items():
        count = math.ceil(len(placed) / ENGINES_PER_POOL)
        for engine in placed:
            index = zlib.crc32(engine.id.encode()) % count
            pools.setdefault(PoolKey(service, data_centre, index), []).append(engine)
    return {key: tuple(pools[key]) for key in sorted(pools, key=_order)}


def coordinator_of(key: PoolKey, data_centre_by_vm: Mapping[str, str]) -> str | None:
    """Return the VM that coordinates a pool, or ``None`` if there is none.

    Failure pattern: VMs that come and go. Only the pools of a VM that went are moved to others.

    Parameters
    ----------
    key
        The pool.
    data_centre_by_vm
        VMs that can be reached, with their data centres. Those in the pool's own are preferred,
        because a cut of the data centre leaves them with its engines.
    """
    local = [vm for vm, each in data_centre_by_vm.items() if each == key.data_centre]

    def rank(vm: str) -> bytes:
        return hash_rank(f"{key.service} {key.data_centre} {key.index} {vm}")

    return min(local or data_centre_by_vm, key=rank, default=None)


def choose_pool(
    state_by_key: Mapping[PoolKey, PoolState],
    data_centre: str,
    tokens: int,
    request_id: str,
    avoid: Collection[PoolKey] = (),
) -> PoolKey | None:
    """Return the pool that a stream should be placed in, or ``None`` if no pool is known.

    Load pattern: a burst that reaches some data centres more than others. A stream stays in the
    data centre of its gateway while there is room; otherwise streams spread over the pools with
    room, in proportion to it, and over those with the shortest queue if there is none.

    Parameters
    ----------
    state_by_key
        Newest summary of each pool of the service.
    data_centre
        Data centre of the gateway.
    tokens
        Memory that the stream needs.
    request_id
        Id of the request, which decides between pools with room.
    avoid
        Pools whose coordinator has not answered.
    """
    known = {key: state for key, state in state_by_key.items() if key not in avoid}
    room = {
        key: state.free
        for key, state in known.items()
        if state.largest_free >= tokens and state.waiting == 0
    }
    local = [key for key in room if key.data_centre == data_centre]
    if local:
        return max(local, key=lambda key: (room[key], _order(key)))
    if room:
        return _choose_weighted(room, request_id)

    def queue(key: PoolKey) -> tuple[float, bool, tuple[str, str, int]]:
        state = known[key]
        is_remote = key.data_centre != data_centre
        return state.waiting / max(1, state.capacity), is_remote, _order(key)

    return min(known, key=queue, default=None)


def _choose_weighted(weight_by_key: Mapping[PoolKey, int], request_id: str) -> PoolKey:
    """Choose a key in proportion to its weight; the same request always gets the same key."""
    keys = sorted(weight_by_key, key=_order)
    total = sum(weight_by_key.values())
    point = zlib.crc32(request_id.encode()) / 2**32 * total
    for key in keys:
        point -= weight_by_key[key]
        if point < 0:
            return key
    return keys[-1]


def _order(key: PoolKey) -> tuple[str, str, int]:
    return key.service, key.data_centre, key.index
