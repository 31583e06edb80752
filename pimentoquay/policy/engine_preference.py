"""Which of several engines that are nearly alike one VM takes.

Load pattern: a burst over many VMs that hear of each other's requests a tenth of a second late.
Where each takes the engine that looks emptiest, all take the same one until they hear of it: its
memory overflows, or its queue grows, while others are idle. So VMs that hear of each other late
count loads in steps, and within a step each has an order of its own. They also meet the same few
engines again, on connections that are open.

Failure pattern: a data centre that is cut off. Streams that run in their gateway's own go on.
"""

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pimentoquay.policy.fleet import EngineEntry

__all__ = ["Placer", "by_preference"]


@dataclass(frozen=True)
class Placer:
    """Who chooses: a VM, its data centre, and whether it hears of others' requests late."""

    vm: str
    data_centre: str
    hears_late: bool = False


def by_preference(
    engines: Sequence[EngineEntry],
    load_by_id: Mapping[str, int],
    step: int,
    placer: Placer,
    far: int = 0,
) -> list[EngineEntry]:
    """Return engines with the best first.

    Parameters
    ----------
    engines
        What to choose from.
    load_by_id
        How much each has, in tokens.
    step
        The difference in load, in tokens, below which engines count as alike where others'
        requests are heard of late.
    placer
        Who chooses.
    far
        How much less load an engine of another data centre has to have to be taken, in tokens.
    """

    def key(engine: EngineEntry) -> tuple[int, bool, int, str]:
        is_far = engine.data_centre != placer.data_centre
        load = load_by_id[engine.id] + (far if is_far else 0)
        if not placer.hears_late:
            return load, is_far, 0, engine.id
        own_order = zlib.crc32(f"{placer.vm} {engine.id}".encode())
        return load // max(1, step), is_far, own_order, engine.id

    return sorted(engines, key=key)
