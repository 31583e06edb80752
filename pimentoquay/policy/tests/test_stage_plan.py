from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.stage_plan import (
    StageDemand,
    StageWork,
    most_changing,
    next_change,
    target_prefill_engines,
)

SMALL = 91_912
"""The memory of an engine on the users' first sites, in tokens."""

P, D = EngineStage.PREFILL, EngineStage.DECODE


def engines(*stages):
    return [
        EngineEntry(f"e{number}", "llm", "10.0.0.1:1", f"hall-{number % 3}", False, 64, stage)
        for number, stage in enumerate(stages)
    ]


def test_a_pool_with_as_many_of_each_gives_one_to_decoding_and_then_rests():
    """Three of each on the users' sites, where prefilling takes an eighth of the work."""
    share = StageDemand().prefill_share(SMALL)
    change = next_change(engines(P, P, P, D, D, D), share)
    assert change is not None and change.stage is D
    assert change.engine.stage is P
    assert next_change(engines(P, P, D, D, D, D), share) is None


def test_many_engines_with_little_memory_are_nearly_all_wanted_for_decoding():
    """The grown pool of Print Services, 9 of 23 prefilling: decode memory ran out at two thirds
    of the load while the prefill engines were idle for most of the time."""
    assert target_prefill_engines(23, StageDemand().prefill_share(60_344)) == 4


def test_what_all_gateways_see_counts_and_not_what_one_of_many_sees():
    demand = StageDemand()
    for _ in range(5):
        demand.note_prefill(0.09)
        demand.note_decode(13_000, 5.0, SMALL)
    alone = demand.prefill_share(SMALL)
    long_prompts = StageWork(prefills=40, prefill_seconds=16.0, decodes=40, decode_seconds=12.0)
    for number in range(10):
        demand.set_peer(f"vm-{number}", long_prompts)
    assert alone < 0.15 < 0.5 < demand.prefill_share(SMALL)
    demand.set_peer("vm-1", long_prompts)
    assert target_prefill_engines(6, demand.prefill_share(SMALL)) == 5


def test_the_loss_of_a_prefill_engine_leaves_one_where_there_are_five():
    """pos-printfleet, scale-1, seed 12: the only prefill engine was taken away in second 1, and no
    order was carried out until second 24."""
    assert [target_prefill_engines(number, 0.1) for number in (4, 5, 6, 12)] == [1, 2, 2, 2]


def test_few_engines_change_at_a_time_unless_nothing_runs():
    assert [most_changing(count, False) for count in (1, 6, 23)] == [1, 1, 2]
    assert most_changing(6, True) == 6


def test_engines_that_are_changing_do_not_make_more_of_the_others_change():
    share = StageDemand().prefill_share(60_344)
    pool = engines(*[P] * 3, *[D] * 18)
    assert next_change(pool, share, changing=2) is None


def test_a_pool_that_has_lost_its_decode_engines_gets_one_back():
    change = next_change(engines(P, P, D), StageDemand().prefill_share(SMALL))
    assert change is not None and change.stage is D


def test_a_pool_without_a_prefill_engine_gets_one_only_if_decoding_can_spare_it():
    share = StageDemand().prefill_share(SMALL)
    change = next_change(engines(D, D, D), share)
    assert change is not None and change.stage is P
    assert next_change(engines(D, D), share) is None


def test_the_plan_follows_the_load_that_was_seen():
    demand = StageDemand()
    for _ in range(200):
        demand.note_prefill(0.4)
        demand.note_decode(10_000, 1.0, 100_000)
    assert demand.prefill_share(SMALL) > 0.6
    assert target_prefill_engines(6, demand.prefill_share(SMALL)) > 3


def test_one_engine_of_each_stage_is_always_kept():
    assert [target_prefill_engines(number, 0.0) for number in (0, 1, 2, 4)] == [0, 0, 1, 1]
    assert target_prefill_engines(4, 1.0) == 3
    assert next_change([], 0.2) is None
