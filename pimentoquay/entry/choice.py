"""Which shard of a pool a request goes to, and where it spills when that one is full."""

import random
from collections.abc import Mapping, Sequence

from pimentoquay.kernel import ResultCode
from pimentoquay.membership import Shard, owner_of
from pimentoquay.membership.ownership import Located
from pimentoquay.messages.cluster import ShardSummary

__all__ = ["SPILL_CODES", "choose_shards"]

AFFINITY_SECONDS = 0.25
"""How much longer a queue may be before a prompt leaves the shard that has its prefix cached."""

MAX_SPILLS = 2
"""Shards of other data centres that are tried after the local one."""

SPILL_CODES = frozenset(
    (
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.NO_BACKEND,
        ResultCode.CIRCUIT_OPEN,
    )
)
"""Refusals of one shard that another data centre's shard may make good."""


def choose_shards(
    shards: Sequence[Shard],
    summary_by_shard: Mapping[str, ShardSummary],
    place: Located,
    reachable: tuple[str, ...],
    prefix: tuple[int, ...],
    rng: random.Random,
) -> tuple[str, ...]:
    """Return the shards of one pool to ask, best first: a local one, then spills.

    Among several local shards the prompt's prefix names one and chance another, and the less
    loaded of the two is taken. Spills go to the shards with the shortest queues whose data
    centres are in ``reachable``.
    """
    local = sorted(shard.name for shard in shards if shard.is_near(place))
    remote = [
        shard.name
        for shard in shards
        if not shard.is_near(place) and shard.data_centre in reachable
    ]
    first = (_choose_local(local, summary_by_shard, prefix, rng),) if local else ()
    rng.shuffle(remote)
    remote.sort(key=lambda name: _queue_seconds(summary_by_shard, name))
    spills = [name for name in remote if _has_room(summary_by_shard, name)] or remote[:1]
    return first + tuple(spills[:MAX_SPILLS])


def _choose_local(
    local: list[str],
    summary_by_shard: Mapping[str, ShardSummary],
    prefix: tuple[int, ...],
    rng: random.Random,
) -> str:
    if len(local) == 1:
        return local[0]
    if not prefix:
        pair = rng.sample(local, 2)
        return min(pair, key=lambda name: _queue_seconds(summary_by_shard, name))
    home = owner_of(str(prefix[0]), local)
    other = rng.choice([name for name in local if name != home])
    margin = _queue_seconds(summary_by_shard, home) - _queue_seconds(summary_by_shard, other)
    return other if margin > AFFINITY_SECONDS else home


def _queue_seconds(summary_by_shard: Mapping[str, ShardSummary], name: str) -> float:
    summary = summary_by_shard.get(name)
    return summary.queue_seconds if summary is not None else 0.0


def _has_room(summary_by_shard: Mapping[str, ShardSummary], name: str) -> bool:
    summary = summary_by_shard.get(name)
    return summary is None or summary.free_slots > 0
