"""Tests that runs are deterministic and keep all invariants, and that policies meet targets."""

import functools
import itertools
import random
import subprocess
import sys

import pytest

from pimentoquay.bench.compare import BRAILLE, PRINT, SCENARIOS, VARIANTS, run_scenario
from pimentoquay.bench.compare.workload import arrivals, capacity_per_data_centre
from pimentoquay.standin import answer_tokens

SECONDS = 8.0
SHORT_SECONDS = 6.0
SEED = 1
SCRIPT = """
import dataclasses, json
from pimentoquay.bench.compare import PRINT, SCENARIOS, VARIANTS, run_scenario
measures = run_scenario(SCENARIOS["steady-0.9"], PRINT, VARIANTS["full"], 3, 2.0)
print(json.dumps(dataclasses.asdict(measures), sort_keys=True))
"""

both_deployments = pytest.mark.parametrize("deployment", [PRINT, BRAILLE], ids=["print", "braille"])


@functools.cache
def measured(name, deployment=PRINT, policy="full", seconds=SHORT_SECONDS):
    """Return the measures of a scenario, which is run only once, and check the invariants."""
    measures = run_scenario(SCENARIOS[name], deployment, VARIANTS[policy], SEED, seconds)
    assert measures.invariants.total() == 0, measures.invariants
    return measures


def run_with_hash_seed(hash_seed):
    command = [sys.executable, "-c", SCRIPT]
    environment = {"PYTHONHASHSEED": hash_seed}
    done = subprocess.run(command, env=environment, capture_output=True, check=True)
    return done.stdout


def test_same_seed_gives_the_same_bytes():
    first = run_with_hash_seed("1")
    assert first == run_with_hash_seed("2")
    assert b"goodput" in first


def test_capacity_of_a_run_that_ends_within_its_surge_counts_the_whole_surge():
    # As a share of the decode capacity, the load is 0.7 for 2.1 s, which can all be served, and
    # then 2.1 for 5 s, of which 1.0 can be served.
    share = SCENARIOS["surge"].capacity_share(PRINT, SHORT_SECONDS)
    assert share == pytest.approx((0.7 * 2.1 + 5) / (0.7 * 2.1 + 2.1 * 5), abs=1e-6)


@both_deployments
def test_steady_load_meets_its_targets(deployment):
    measures = measured("steady-0.9", deployment)
    assert measures.goodput >= 0.95
    assert measures.wasted_prefill <= 0.005


@pytest.mark.parametrize("name", ["peak", "surge"])
def test_overload_wastes_nothing_and_uses_the_capacity(name):
    naive = measured(name, policy="naive")
    full = measured(name)
    assert full.goodput >= 0.9 * full.capacity_share
    assert full.goodput > naive.goodput
    assert full.wasted_prefill <= 0.01
    assert full.wasted_prefill <= 0.1 * naive.wasted_prefill


def optimum(name, deployment=PRINT, seconds=SHORT_SECONDS):
    """Return the largest share of the offered requests that the decode slots can complete.

    For each step of the load, every pool completes the requests with the shortest answers first
    until its decode time is used up. That time extends past the end of the step by the longest time
    for which a request may wait for its first token and then run. No other order completes more
    requests in the same time.
    """
    scenario = SCENARIOS[name]
    shape = scenario.shape(deployment, seconds)
    model = scenario.engine_model(deployment)
    offered = arrivals(deployment, shape, model, seconds, SEED)
    ends = [start for start, _ in shape.rates[1:]] + [seconds]
    done = 0
    for (begin, _), end in zip(shape.rates, ends, strict=True):
        for pool in deployment.pools:
            names = {load.kind.name for load in pool.loads}
            lengths = sorted(
                len(answer_tokens(each.prompt, each.kind.max_tokens))
                for each in offered
                if each.kind.name in names and begin <= each.at < end
            )
            rate = capacity_per_data_centre(pool, model) * len(deployment.data_centres)
            step_seconds = model.step_seconds + model.decode_slots * model.step_seconds_per_stream
            waits = max(
                load.kind.first_token_target + load.kind.max_tokens * step_seconds
                for load in pool.loads
            )
            budget = rate * mean_length(pool) * max(0.0, end - begin + waits)
            done += sum(1 for total in itertools.accumulate(lengths) if total <= budget)
    return done / len(offered)


def mean_length(pool):
    """Return the mean answer length in tokens, over the sample that defines the pool's capacity."""
    rng = random.Random(7)
    lengths = []
    for number in range(400):
        load = rng.choices(pool.loads, [each.share for each in pool.loads])[0]
        rng.randint(load.min_prompt, load.max_prompt)
        lengths.append(len(answer_tokens(f"{number:08d}", load.kind.max_tokens)))
    return sum(lengths) / len(lengths)


def test_overload_goodput_is_nearly_all_at_the_peak():
    full, naive = measured("peak"), measured("peak", policy="naive")
    assert full.goodput >= 0.95
    assert full.goodput > naive.goodput


def test_overload_goodput_is_near_the_optimum_in_a_surge():
    full, naive = measured("surge"), measured("surge", policy="naive")
    assert full.goodput >= 0.9 * optimum("surge")
    assert full.goodput > naive.goodput


@both_deployments
def test_noisy_workspace_costs_the_others_little(deployment):
    noisy = measured("noisy-workspace", deployment, seconds=SECONDS).goodput_by_workspace
    alone = measured("without-noisy", deployment, seconds=SECONDS).goodput_by_workspace
    assert len(alone) == 3
    lost = {workspace: alone[workspace] - noisy[workspace] for workspace in alone}
    assert max(lost.values()) <= 0.02, lost


def test_callers_that_leave_hold_nothing_a_second_later():
    assert measured("cancel-storm").held_after_cancel == 0


def test_recovering_engine_gets_one_request_at_a_time():
    measures = measured("recovery", seconds=SECONDS)
    assert measures.sent_while_recovering > 0
    assert measures.most_sent_at_once == 1
    assert 0 <= measures.full_rate_after <= 2.0


@pytest.mark.parametrize("name", ["engine-crash", "engine-slow", "link-stall", "scheduler-loss"])
def test_goodput_is_back_three_seconds_after_a_fault(name):
    measures = measured(name, seconds=SECONDS)
    assert measures.window_goodput >= 0.95
    assert measures.failed_unstarted == 0
