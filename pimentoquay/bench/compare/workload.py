"""Seeded arrivals, and the decode capacity that loads are stated against."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.compare.deployment import Deployment, KindLoad, PoolSpec
from pimentoquay.messages.workspaces import KindSpec
from pimentoquay.standin import EngineModel, answer_tokens

__all__ = ["Arrival", "Shape", "arrivals", "capacity_per_data_centre"]

PROMPT_BYTES_PER_TOKEN = 4
CAPACITY_SAMPLES = 400
CAPACITY_SEED = 7


@dataclass(frozen=True)
class Arrival:
    """One request of a caller, ``at`` seconds after the start."""

    at: float
    request_id: str
    data_centre: str
    vm_index: int
    workspace: str
    kind: KindSpec
    prompt: str


@dataclass(frozen=True)
class Shape:
    """How arrivals differ from the deployment's usual ones.

    ``rates`` gives the load, as a share of decode capacity, from each second on. ``weights``
    multiplies the rate of single workspaces. ``shared_prefixes`` is the number of long texts
    that prompts begin with, 0 for none; ``prompt_factor`` lengthens prompts.
    """

    rates: tuple[tuple[float, float], ...]
    weights: tuple[tuple[str, float], ...] = ()
    shared_prefixes: int = 0
    prompt_factor: float = 1.0


def capacity_per_data_centre(pool: PoolSpec, model: EngineModel) -> float:
    """Return the requests per second that a pool's slots of one data centre can decode."""
    rng = random.Random(CAPACITY_SEED)
    tokens = prefill = transfer = 0.0
    for number in range(CAPACITY_SAMPLES):
        load = _pick_load(pool, rng)
        size = rng.randint(load.min_prompt, load.max_prompt)
        text = f"{number:08d}"
        tokens += len(answer_tokens(text, load.kind.max_tokens)) / CAPACITY_SAMPLES
        seconds = model.prefill_seconds + size * model.prefill_seconds_per_token
        prefill += seconds / CAPACITY_SAMPLES
        transfer += size * model.kv_bytes_per_token / model.link_rate / CAPACITY_SAMPLES
    step = model.step_seconds + model.decode_slots * model.step_seconds_per_stream
    rate = 0.0
    for role in pool.roles:
        if role is EngineRole.DECODE:
            rate += model.decode_slots / (tokens * step + transfer)
        elif role is EngineRole.MIXED:
            rate += _mixed_rate(model, tokens * step, prefill)
    return rate


def arrivals(
    deployment: Deployment, shape: Shape, model: EngineModel, seconds: float, seed: int
) -> list[Arrival]:
    """Return every request of a run in order of time."""
    found: list[Arrival] = []
    for pool in deployment.pools:
        rng = random.Random(f"{seed}/{deployment.name}/{pool.name}")
        capacity = capacity_per_data_centre(pool, model) * len(deployment.data_centres)
        texts = [_text(rng, 1024) for _ in range(shape.shared_prefixes)]
        weights = dict(shape.weights)
        for workspace in deployment.workspaces:
            share = weights.get(workspace, 1.0) / len(deployment.workspaces)
            for at in _times(shape.rates, capacity * share, seconds, rng):
                load = _pick_load(pool, rng)
                name = f"{pool.name}-{len(found)}"
                found.append(_arrival(at, name, deployment, workspace, load, shape, texts, rng))
    return sorted(found, key=lambda arrival: (arrival.at, arrival.request_id))


def _arrival(
    at: float,
    name: str,
    deployment: Deployment,
    workspace: str,
    load: KindLoad,
    shape: Shape,
    texts: list[str],
    rng: random.Random,
) -> Arrival:
    size = int(rng.randint(load.min_prompt, load.max_prompt) * shape.prompt_factor)
    head = rng.choice(texts) if texts else ""
    prompt = head + _text(rng, size)
    data_centre = rng.choice(deployment.data_centres)
    return Arrival(at, name, data_centre, rng.randrange(6), workspace, load.kind, prompt)


def _text(rng: random.Random, tokens: int) -> str:
    size = max(8, tokens * PROMPT_BYTES_PER_TOKEN)
    head = f"{rng.getrandbits(60):015x} "
    return (head * (size // len(head) + 1))[:size]


def _times(
    rates: tuple[tuple[float, float], ...], scale: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield Poisson arrival times for a rate that changes in steps."""
    ends = [start for start, _ in rates[1:]] + [seconds]
    for (start, rate), end in zip(rates, ends, strict=True):
        at = start
        while rate * scale > 0:
            at += rng.expovariate(rate * scale)
            if at >= end:
                break
            yield at


def _pick_load(pool: PoolSpec, rng: random.Random) -> KindLoad:
    return rng.choices(pool.loads, [load.share for load in pool.loads])[0]


def _mixed_rate(model: EngineModel, decode: float, prefill: float) -> float:
    """Return the rate of an engine whose decode steps slow down while it prefills."""
    rate = model.decode_slots / decode
    for _ in range(20):
        busy = min(1.0, rate * prefill)
        rate = model.decode_slots / (decode * (1 + (model.mixed_slowdown - 1) * busy))
    return min(rate, 1.0 / prefill)
