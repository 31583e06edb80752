"""Division of a service's engines between the stages prefill and decode.

Load pattern: a pool of engines whose stages do not suit the load, or which has lost engines of one
stage, and streams that fill the memory of the decode engines long before the prefill engines are
busy. Each request needs some time of a prefill engine and, for a while, a part of the memory of a
decode engine. The engines are divided in proportion to these two demands, summed over all gateways.
The prefill stage gets additional capacity for bursts, because a queued prompt delays a stream whose
memory is already reserved. An engine serves no requests while it changes its stage, so only few
change at a time unless no requests are running.
"""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

from pimentoquay.policy.fleet import EngineEntry, EngineStage

__all__ = [
    "StageChange",
    "StageDemand",
    "StageWork",
    "max_changing_engines",
    "next_change",
    "target_prefill_engines",
]

PRIOR_PREFILL_SECONDS = 0.09
"""Assumed duration of a prefill: 5,000 tokens at 55 tokens per ms."""

PRIOR_DECODE_TOKEN_SECONDS = 56_000.0
"""Assumed memory use of a stream in token-seconds.

A stream holds 9,000 tokens on average for 5.3 s, which is 47,700 token-seconds. The rest is its
part of the memory that is kept free.
"""

PRIOR_REQUESTS = 30.0
"""Weight of the assumed values, as a number of requests."""

PREFILL_HEADROOM_FACTOR = 2.0
"""Ratio of prefill engines to those that the mean load keeps busy; bursts are twice the mean."""

MIN_ENGINES_FOR_TWO_PREFILL = 5
"""Minimum number of engines with which at least two are prefill engines.

If the only prefill engine is lost, the decode engines prefill all prompts, and their streams pause
during each prefill, until another engine has changed its stage.
"""

MIN_UNOBSERVED_SHARE = 1.0 / 12.0
"""Minimum share of engine time assumed for prefills while few requests have been observed.

A sixth of the engines then stay prefill engines. Engines and prompts of a deployment may differ
from the assumed ones by more than a factor of two.
"""

UNOBSERVED_PREFILL_ENGINES_OF = 3
"""One engine in this many stays a prefill engine until requests have been observed.

An operator may have divided the engines by what they and the prompts need. By the assumed values,
five of nine prefill engines changed to decode before the first request, and prompts then queued for
over a second at the other four.
"""

ENGINES_PER_SPARE_PREFILL = 12
"""Number of engines of a service per prefill engine beyond the target that is left alone.

The target of a large pool moves by one with the share measured in a burst, and each change takes an
engine out of use for seconds.
"""

ENGINES_PER_CHANGE = 8
"""Number of engines of a service per engine that may be changing its stage.

One engine may change its stage even if the service has fewer engines.
"""


@dataclass(frozen=True)
class StageChange:
    """Change of an engine to another stage."""

    engine: EngineEntry
    stage: EngineStage


@dataclass(frozen=True)
class StageWork:
    """Work of the two stages for one gateway's requests since its start.

    ``prefills`` and ``decodes`` are numbers of requests. ``prefill_seconds`` is the time that
    prefill engines were busy. ``decode_seconds`` sums up the time for which each request held
    memory, times its share of the decode engine's memory.
    """

    prefills: int = 0
    prefill_seconds: float = 0.0
    decodes: int = 0
    decode_seconds: float = 0.0


class StageDemand:
    """Demand of the requests of all gateways for the two stages.

    Load pattern: requests spread over many gateways. A single gateway receives too few of them for
    an estimate, so each sends its sums to the others.
    """

    def __init__(self) -> None:
        self.own = StageWork()
        self._work_by_vm: dict[str, StageWork] = {}

    def record_prefill(self, seconds: float) -> None:
        """Add a prefill of this gateway."""
        own = self.own
        self.own = replace(
            own, prefills=own.prefills + 1, prefill_seconds=own.prefill_seconds + seconds
        )

    def record_decode(self, tokens: int, seconds: float, capacity: int) -> None:
        """Add a stream of this gateway.

        Parameters
        ----------
        tokens
            Memory that the stream held, in tokens.
        seconds
            Time for which it held the memory.
        capacity
            Memory of the engine, in tokens.
        """
        own, share = self.own, tokens / max(1, capacity)
        self.own = replace(
            own, decodes=own.decodes + 1, decode_seconds=own.decode_seconds + share * seconds
        )

    def set_peer(self, vm: str, work: StageWork) -> None:
        """Replace the sums of a peer by those that it has reported."""
        self._work_by_vm[vm] = work

    def prefill_share(self, capacity: int) -> float:
        """Return the share of engine time that prefills need, from 0 to 1.

        ``capacity`` is the memory of an engine in tokens. The assumed duration of a prefill and the
        assumed memory use of a stream are included with the weight of ``PRIOR_REQUESTS`` requests.
        """
        all_work = (self.own, *self._work_by_vm.values())
        prior_requests = PRIOR_REQUESTS
        prefill = prior_requests * PRIOR_PREFILL_SECONDS + sum(
            work.prefill_seconds for work in all_work
        )
        prefill /= prior_requests + sum(work.prefills for work in all_work)
        decode = prior_requests * PRIOR_DECODE_TOKEN_SECONDS / max(1, capacity)
        decode = (decode + sum(work.decode_seconds for work in all_work)) / (
            prior_requests + sum(work.decodes for work in all_work)
        )
        share = prefill / (prefill + decode)
        observed = sum(work.prefills for work in all_work)
        return share if observed >= prior_requests else max(share, MIN_UNOBSERVED_SHARE)

    @property
    def is_observed(self) -> bool:
        """Whether the division follows from requests rather than from assumed values."""
        all_work = (self.own, *self._work_by_vm.values())
        return sum(work.prefills for work in all_work) >= PRIOR_REQUESTS


def max_changing_engines(engines: int, is_idle: bool) -> int:
    """Return the maximum number of a service's engines that may be changing their stage at once.

    An engine serves no requests while it changes between prefill and decode. All engines may change
    if ``is_idle`` is true, which means that no requests are running.
    """
    return engines if is_idle else max(1, engines // ENGINES_PER_CHANGE)


def target_prefill_engines(engines: int, prefill_share: float) -> int:
    """Return how many of the engines should be prefill engines.

    Load pattern: bursts of prompts, and the loss of a prefill engine. With two engines or more, at
    least one is a prefill engine and at least one a decode engine.
    """
    if engines < 2:
        return 0
    target = round(PREFILL_HEADROOM_FACTOR * prefill_share * engines)
    minimum = 1 if engines < MIN_ENGINES_FOR_TWO_PREFILL else 2
    return min(engines - 1, max(minimum, target))


def next_change(
    engines: Sequence[EngineEntry],
    prefill_share: float,
    changing: int = 0,
    is_observed: bool = True,
) -> StageChange | None:
    """Return the next change of an engine's stage, or ``None`` if none is needed.

    Load pattern: a pool of engines whose stages do not suit the load, or which has lost engines.
    With too few prefill engines their queues grow without end, so that streams with memory wait.

    Parameters
    ----------
    engines
        Engines of one service that accept requests and are not changing their stage.
    prefill_share
        Share of engine time that prefills need, from 0 to 1.
    changing
        Number of further engines of the service that are changing their stage.
    is_observed
        Whether ``prefill_share`` follows from requests. A part of the prefill engines is kept
        otherwise.
    """
    prefill = [engine for engine in engines if engine.stage is EngineStage.PREFILL]
    decode = [engine for engine in engines if engine.stage is EngineStage.DECODE]
    count = len(prefill) + len(decode) + changing
    target = target_prefill_engines(count, prefill_share)
    kept = target if is_observed else max(target, math.ceil(count / UNOBSERVED_PREFILL_ENGINES_OF))
    if len(prefill) > kept + count // ENGINES_PER_SPARE_PREFILL:
        released = _engine_to_release(prefill)
        return StageChange(released, EngineStage.DECODE)
    # One engine less than wanted is left alone, so that stages do not change to and fro.
    is_short = len(prefill) + changing + 1 < target
    if (is_short or (not prefill and target)) and len(decode) > 2:
        return StageChange(_engine_to_add(decode, prefill), EngineStage.PREFILL)
    return None


def _engine_to_add(decode: Sequence[EngineEntry], prefill: Sequence[EngineEntry]) -> EngineEntry:
    """Return a decode engine, from the data centre that has the fewest prefill engines."""
    count_by_data_centre = Counter(engine.data_centre for engine in prefill)
    return min(decode, key=lambda each: (count_by_data_centre[each.data_centre], each.id))


def _engine_to_release(engines: Sequence[EngineEntry]) -> EngineEntry:
    """Return one of the given engines, from the data centre that has the most of them."""
    count_by_data_centre: dict[str, int] = {}
    for engine in engines:
        count = count_by_data_centre.get(engine.data_centre, 0)
        count_by_data_centre[engine.data_centre] = count + 1
    return min(engines, key=lambda each: (-count_by_data_centre[each.data_centre], each.id))
