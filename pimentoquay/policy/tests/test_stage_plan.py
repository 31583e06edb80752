from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.stage_plan import StageDemand, next_change, wanted_prefill_engines

P, D = EngineStage.PREFILL, EngineStage.DECODE


def engines(*stages):
    return [
        EngineEntry(f"e{number}", "llm", "10.0.0.1:1", f"hall-{number % 3}", False, 64, stage)
        for number, stage in enumerate(stages)
    ]


def test_a_pool_with_as_many_of_each_gives_one_to_decoding_and_then_rests():
    """Three of each on the users' sites, where prefilling takes a fifth of the work."""
    share = StageDemand().prefill_share
    pool = engines(P, P, P, D, D, D)
    change = next_change(pool, share)
    assert change is not None and change.stage is D
    assert change.engine.stage is P
    assert next_change(engines(P, P, D, D, D, D), share) is None


def test_a_pool_that_has_lost_its_decode_engines_gets_one_back():
    change = next_change(engines(P, P, D), StageDemand().prefill_share)
    assert change is not None and change.stage is D


def test_a_pool_without_a_prefill_engine_gets_one_only_if_decoding_can_spare_it():
    share = StageDemand().prefill_share
    change = next_change(engines(D, D, D), share)
    assert change is not None and change.stage is P
    assert next_change(engines(D, D), share) is None


def test_the_plan_follows_the_load_that_was_seen():
    demand = StageDemand()
    for _ in range(200):
        demand.note_prefill(0.4)
        demand.note_decode(10_000, 1.0, 100_000)
    assert demand.prefill_share > 0.6
    assert wanted_prefill_engines(6, demand.prefill_share) > 3


def test_one_engine_of_each_stage_is_always_kept():
    assert [wanted_prefill_engines(number, 0.0) for number in (0, 1, 2, 6)] == [0, 0, 1, 1]
    assert wanted_prefill_engines(4, 1.0) == 3
    assert next_change([], 0.2) is None
