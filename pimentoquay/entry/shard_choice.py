"""Choice of the shard that places a request, and of other shards to try when it is full.

A pool holds the engines of one model; each of its shards has a scheduler of its own. A request
spills over when a shard of another data centre takes it.
"""

import random
from collections.abc import Mapping, Sequence

from pimentoquay.kernel import ResultCode
from pimentoquay.membership import Shard, owner_of
from pimentoquay.membership.ownership import HasLocation
from pimentoquay.messages.cluster import ShardSummary

__all__ = ["SPILL_CODES", "choose_shards"]

MAX_AFFINITY_DELAY_SECONDS = 0.25
"""Extra queueing time, in seconds, that is accepted to use a shard with a cached prompt prefix."""

MAX_SPILLS = 2
"""Maximum number of shards in other data centres that are tried after the local shard."""

SPILL_CODES = frozenset(
    (
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.NO_BACKEND,
        ResultCode.CIRCUIT_OPEN,
    )
)
"""Refusal codes after which a shard in another data centre may still accept the request."""


def choose_shards(
    shards: Sequence[Shard],
    summary_by_shard: Mapping[str, ShardSummary],
    place: HasLocation,
    reachable: tuple[str, ...],
    prefix: tuple[int, ...],
    rng: random.Random,
) -> tuple[str, ...]:
    """Return the names of the shards to try for a request, best first.

    The first is a local shard, if the pool has one. Of several local shards, the prompt's prefix
    determines one, so that requests with the same prefix find it cached there. A second shard is
    drawn at random and is taken instead if its queue is shorter by more than
    ``MAX_AFFINITY_DELAY_SECONDS``. Without a prefix, two shards are drawn at random and the one
    with the shorter queue is taken. After the local shard come up to ``MAX_SPILLS`` shards with
    free slots in other data centres, shortest queue first; if none has free slots, only the one
    with the shortest queue.

    Parameters
    ----------
    shards
        All shards of the pool.
    summary_by_shard
        Last known load of each shard; a shard without a summary counts as idle.
    place
        Data centre and region of the entry.
    reachable
        Names of the other data centres that can be reached.
    prefix
        Hashes of the prompt's blocks; empty if the prompt is shorter than one block.
    rng
        Source of the random choices.
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
    spills = [name for name in remote if _has_free_slots(summary_by_shard, name)] or remote[:1]
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
    preferred = owner_of(str(prefix[0]), local)
    other = rng.choice([name for name in local if name != preferred])
    margin = _queue_seconds(summary_by_shard, preferred) - _queue_seconds(summary_by_shard, other)
    return other if margin > MAX_AFFINITY_DELAY_SECONDS else preferred


def _queue_seconds(summary_by_shard: Mapping[str, ShardSummary], name: str) -> float:
    summary = summary_by_shard.get(name)
    return summary.queue_seconds if summary is not None else 0.0


def _has_free_slots(summary_by_shard: Mapping[str, ShardSummary], name: str) -> bool:
    summary = summary_by_shard.get(name)
    return summary is None or summary.free_slots > 0
