"""Seeded arrivals of requests, and the decode capacity that request rates are relative to."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.compare.deployment import Deployment, KindLoad, PoolSpec
from pimentoquay.messages.workspaces import KindSpec
from pimentoquay.standin import EngineModel, answer_tokens

__all__ = ["Arrival", "LoadShape", "arrivals", "capacity_per_data_centre"]

PROMPT_BYTES_PER_TOKEN = 4
CAPACITY_SAMPLES = 400
"""Number of requests from which the mean cost of a pool's requests is computed."""

CAPACITY_SEED = 7


@dataclass(frozen=True)
class Arrival:
    """A request that a caller sends ``at`` seconds after the start of the run.

    ``vm_index`` selects an entry VM of the data centre, modulo their number.
    """

    at: float
    request_id: str
    data_centre: str
    vm_index: int
    workspace: str
    kind: KindSpec
    prompt: str


@dataclass(frozen=True)
class LoadShape:
    """Request rates over time, and changes to the deployment's usual workspaces and prompts.

    ``rates`` holds pairs of a start in seconds and the load from then on, as a share of the decode
    capacity. ``weights`` holds factors on the rates of single workspaces. ``shared_prefixes`` is
    the number of long texts that prompts begin with, 0 for none, and ``prompt_factor`` a factor on
    the length of prompts.
    """

    rates: tuple[tuple[float, float], ...]
    weights: tuple[tuple[str, float], ...] = ()
    shared_prefixes: int = 0
    prompt_factor: float = 1.0


def capacity_per_data_centre(pool: PoolSpec, model: EngineModel) -> float:
    """Return the requests per second that a pool's decode slots in one data centre can serve."""
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
            rate += _mixed_engine_rate(model, tokens * step, prefill)
    return rate


def arrivals(
    deployment: Deployment, shape: LoadShape, model: EngineModel, seconds: float, seed: int
) -> list[Arrival]:
    """Return all requests of a run in order of arrival."""
    all_arrivals: list[Arrival] = []
    for pool in deployment.pools:
        rng = random.Random(f"{seed}/{deployment.name}/{pool.name}")
        capacity = capacity_per_data_centre(pool, model) * len(deployment.data_centres)
        texts = [_make_text(rng, 1024) for _ in range(shape.shared_prefixes)]
        weights = dict(shape.weights)
        for workspace in deployment.workspaces:
            share = weights.get(workspace, 1.0) / len(deployment.workspaces)
            for at in _arrival_times(shape.rates, capacity * share, seconds, rng):
                load = _pick_load(pool, rng)
                request_id = f"{pool.name}-{len(all_arrivals)}"
                all_arrivals.append(
                    _make_arrival(at, request_id, deployment, workspace, load, shape, texts, rng)
                )
    return sorted(all_arrivals, key=lambda arrival: (arrival.at, arrival.request_id))


def _make_arrival(
    at: float,
    request_id: str,
    deployment: Deployment,
    workspace: str,
    load: KindLoad,
    shape: LoadShape,
    texts: list[str],
    rng: random.Random,
) -> Arrival:
    size = int(rng.randint(load.min_prompt, load.max_prompt) * shape.prompt_factor)
    prefix = rng.choice(texts) if texts else ""
    prompt = prefix + _make_text(rng, size)
    data_centre = rng.choice(deployment.data_centres)
    return Arrival(at, request_id, data_centre, rng.randrange(6), workspace, load.kind, prompt)


def _make_text(rng: random.Random, tokens: int) -> str:
    size = max(8, tokens * PROMPT_BYTES_PER_TOKEN)
    head = f"{rng.getrandbits(60):015x} "
    return (head * (size // len(head) + 1))[:size]


def _arrival_times(
    rates: tuple[tuple[float, float], ...], scale: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield the arrival times of a Poisson process whose rate changes in steps, in seconds."""
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


def _mixed_engine_rate(model: EngineModel, decode_seconds: float, prefill_seconds: float) -> float:
    """Return the requests per second of an engine whose decode steps slow down during a prefill.

    The rate and the share of the time spent on prefills depend on each other, hence the iteration.
    """
    rate = model.decode_slots / decode_seconds
    for _ in range(20):
        prefill_share = min(1.0, rate * prefill_seconds)
        rate = model.decode_slots / (
            decode_seconds * (1 + (model.mixed_slowdown - 1) * prefill_share)
        )
    return min(rate, 1.0 / prefill_seconds)
