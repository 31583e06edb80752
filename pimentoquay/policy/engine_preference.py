"""Order in which a VM prefers engines with nearly equal loads.

Load pattern: a burst over many VMs that do not know of each other's requests, because no
coordinator answers. If each VM picked the engine with the lowest known load, all would pick the
same one: its memory would overflow or its queue grow while other engines are idle. Such VMs
therefore compare loads in coarse steps, and each VM orders the engines within a step differently. A
VM then also tends to use the same few engines, to which it has open connections.

Engines of different speed take parts of such a burst in proportion to their speeds, so the order
within a step is drawn with these as weights.

Failure pattern: a data centre that is cut off from the others. Preferring engines of the gateway's
own data centre keeps its streams running.
"""

import math
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.mesh_plan import hash_rank

__all__ = ["Placer", "sort_by_preference"]

HASH_BYTES = 6
"""Number of bytes of the hash that draws the order of engines at a VM; a float is exact for it."""


@dataclass(frozen=True)
class Placer:
    """A VM that places requests, and whether it lacks the loads of the other VMs."""

    vm: str
    data_centre: str
    lacks_peer_loads: bool = False


def sort_by_preference(
    engines: Sequence[EngineEntry],
    load_by_id: Mapping[str, int],
    step: int,
    placer: Placer,
    remote_penalty: int = 0,
    weight_by_id: Mapping[str, float] | None = None,
) -> list[EngineEntry]:
    """Return engines in order of preference, best first.

    Load pattern: a burst over many VMs, which must not all pick the same engine.

    Parameters
    ----------
    engines
        Engines to order.
    load_by_id
        Load of each engine, in tokens.
    step
        Size of a load step in tokens; for a VM that lacks the loads of others, engines in the same
        step are equally loaded.
    placer
        VM that places the request.
    remote_penalty
        Tokens added to the load of engines in other data centres.
    weight_by_id
        Relative speed of each engine, if it matters. Of the VMs that see equal loads, a part in
        proportion to it prefers the engine.
    """

    def key(engine: EngineEntry) -> tuple[int, bool, float, str]:
        is_remote = engine.data_centre != placer.data_centre
        load = load_by_id[engine.id] + (remote_penalty if is_remote else 0)
        if placer.lacks_peer_loads:
            load //= max(1, step)
        elif weight_by_id is None:
            return load, is_remote, 0.0, engine.id
        return load, is_remote, vm_order(engine), engine.id

    def vm_order(engine: EngineEntry) -> float:
        text = f"{placer.vm} {engine.id}"
        if weight_by_id is None:
            return zlib.crc32(text.encode())
        # Drawn in proportion to the weights, for which the hashes must be independent.
        drawn = int.from_bytes(hash_rank(text)[:HASH_BYTES]) / 256**HASH_BYTES
        return -math.log(1.0 - drawn) / weight_by_id[engine.id]

    return sorted(engines, key=key)
