from dataclasses import replace

import pytest

from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.stage_plan import (
    StageDemand,
    StageWork,
    max_changing_engines,
    next_change,
    target_prefill_engines,
)

CAPACITY_TOKENS = 91_912
"""Memory of an engine, in tokens."""

PREFILL_STAGE, DECODE_STAGE = EngineStage.PREFILL, EngineStage.DECODE


def engines(*stages):
    return [
        EngineEntry(f"e{number}", "llm", "10.0.0.1:1", f"hall-{number % 3}", False, 64, stage)
        for number, stage in enumerate(stages)
    ]


def test_pool_with_equal_stages_changes_one_engine_to_decode_and_then_stays():
    """There are three engines of each stage, and prefill takes an eighth of the work."""
    share = StageDemand().prefill_share(CAPACITY_TOKENS)
    change = next_change(
        engines(
            PREFILL_STAGE, PREFILL_STAGE, PREFILL_STAGE, DECODE_STAGE, DECODE_STAGE, DECODE_STAGE
        ),
        share,
    )
    assert change is not None and change.stage is DECODE_STAGE
    assert change.engine.stage is PREFILL_STAGE
    assert (
        next_change(
            engines(
                PREFILL_STAGE, PREFILL_STAGE, DECODE_STAGE, DECODE_STAGE, DECODE_STAGE, DECODE_STAGE
            ),
            share,
        )
        is None
    )


def test_most_engines_with_little_memory_are_decode_engines():
    """Guards against too many prefill engines.

    With 9 of 23 engines in prefill, the memory of the decode engines was full at two thirds of the
    load while the prefill engines were idle most of the time.
    """
    assert target_prefill_engines(23, StageDemand().prefill_share(60_344)) == 4


def test_requests_of_all_gateways_count():
    demand = StageDemand()
    for _ in range(5):
        demand.record_prefill(0.09)
        demand.record_decode(13_000, 5.0, CAPACITY_TOKENS)
    alone = demand.prefill_share(CAPACITY_TOKENS)
    long_prompts = StageWork(prefills=40, prefill_seconds=16.0, decodes=40, decode_seconds=12.0)
    for number in range(10):
        demand.set_peer(f"vm-{number}", long_prompts)
    assert alone < 0.15 < 0.5 < demand.prefill_share(CAPACITY_TOKENS)
    demand.set_peer("vm-1", long_prompts)
    assert target_prefill_engines(6, demand.prefill_share(CAPACITY_TOKENS)) == 5


def test_pool_of_five_or_more_has_two_prefill_engines():
    """Guards against a single prefill engine in a pool of five or more.

    When the only one was lost in second 1, no other engine changed its stage until second 24.
    """
    assert [target_prefill_engines(number, 0.1) for number in (4, 5, 6, 12)] == [1, 2, 2, 2]


def test_few_engines_change_at_a_time_unless_no_requests_are_running():
    assert [max_changing_engines(count, False) for count in (1, 6, 23)] == [1, 1, 2]
    assert max_changing_engines(6, True) == 6


def test_changing_engines_do_not_cause_further_changes():
    share = StageDemand().prefill_share(60_344)
    pool = engines(*[PREFILL_STAGE] * 3, *[DECODE_STAGE] * 18)
    assert next_change(pool, share, changing=2) is None


def test_pool_that_has_lost_decode_engines_gets_one_back():
    change = next_change(
        engines(PREFILL_STAGE, PREFILL_STAGE, DECODE_STAGE),
        StageDemand().prefill_share(CAPACITY_TOKENS),
    )
    assert change is not None and change.stage is DECODE_STAGE


def test_pool_without_prefill_engine_gets_one_only_if_there_are_enough_decode_engines():
    share = StageDemand().prefill_share(CAPACITY_TOKENS)
    change = next_change(engines(DECODE_STAGE, DECODE_STAGE, DECODE_STAGE), share)
    assert change is not None and change.stage is PREFILL_STAGE
    assert next_change(engines(DECODE_STAGE, DECODE_STAGE), share) is None


def test_plan_follows_the_measured_load():
    demand = StageDemand()
    for _ in range(200):
        demand.record_prefill(0.4)
        demand.record_decode(10_000, 1.0, 100_000)
    assert demand.prefill_share(CAPACITY_TOKENS) > 0.6
    assert target_prefill_engines(6, demand.prefill_share(CAPACITY_TOKENS)) > 3


def test_at_least_one_engine_of_each_stage_is_kept():
    assert [target_prefill_engines(number, 0.0) for number in (0, 1, 2, 4)] == [0, 0, 1, 1]
    assert target_prefill_engines(4, 1.0) == 3
    assert next_change([], 0.2) is None


def many_engines(prefill, decode):
    return engines(*(PREFILL_STAGE,) * prefill, *(DECODE_STAGE,) * decode)


@pytest.mark.parametrize(
    ("capacity", "prefill", "decode"), [(24_691, 16, 29), (63_985, 9, 15), (60_344, 9, 14)]
)
def test_large_pools_keep_their_division_before_requests_are_observed(capacity, prefill, decode):
    """Guards against a division by assumed values.

    13 of 16 prefill engines changed to decode before traffic began, where the load then needed
    nine, and five of nine, where it needed eight.
    """
    demand = StageDemand()
    share = demand.prefill_share(capacity)
    assert next_change(many_engines(prefill, decode), share, 0, demand.is_observed) is None


def test_engines_change_once_requests_are_observed():
    """Guards against a pool that keeps far too many prefill engines under load."""
    demand = StageDemand()
    demand.set_peer("vm-1", StageWork(60, 5.4, 60, 60.0))
    assert demand.is_observed
    change = next_change(many_engines(9, 14), demand.prefill_share(60_344))
    assert change is not None and change.stage is DECODE_STAGE


def test_large_pools_do_not_change_for_one_engine_more_or_less():
    """Guards against changes to and fro in a burst, while the measured share moves a little."""
    for share in (0.15, 0.16, 0.17, 0.18, 0.19):
        assert next_change(many_engines(8, 16), share) is None


def test_engines_change_to_prefill_if_its_share_grows_and_not_more_than_wanted():
    pool, changing = many_engines(3, 42), 0
    while (change := next_change(pool, 0.1, changing)) is not None:
        assert change.stage is PREFILL_STAGE
        pool = [each for each in pool if each.id != change.engine.id]
        changing += 1
    assert 3 + changing == 8
    assert target_prefill_engines(45, 0.1) == 9


def test_engines_that_change_to_prefill_are_spread_over_the_data_centres():
    pool = many_engines(3, 42)
    pool = [replace(e, data_centre="hall-0") if e.stage is PREFILL_STAGE else e for e in pool]
    change = next_change(pool, 0.1)
    assert change is not None and change.engine.data_centre != "hall-0"


def test_small_pools_do_not_change_to_and_fro():
    for share in (0.1, 0.15, 0.2, 0.25, 0.29):
        assert next_change(many_engines(2, 4), share) is None
