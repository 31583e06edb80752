"""Speeds of engines learnt from prefills, alone and in replayed loads."""

import itertools

import pytest

from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.engine_speeds import EngineSpeeds, PrefillSample, ServiceSpeeds
from pimentoquay.policy.granted_prefills import KEPT_SECONDS, MAX_KEPT, GrantedPrefills
from pimentoquay.policy.prefill_choice import choose_prefill_engine
from pimentoquay.policy.tests.prefill_replay import PrefillReplay, prefill_engine
from pimentoquay.policy.token_ledger import TokenLedger

FACTORS = (0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7)
STARTS = tuple(EngineStart(f"pre-{number}", 1) for number in range(4))


def measure(speeds, start, tokens_per_second, seconds=6, began=0.0, ahead=0):
    """Record a prefill of 5,000 tokens each half second."""
    for number in range(int(seconds / 0.5)):
        sample = PrefillSample(5000, (5000 + ahead) / tokens_per_second, ahead)
        speeds.record(start, sample, began + number * 0.5)


def all_equal(speed=50_000.0):
    speeds = EngineSpeeds()
    for start in STARTS:
        measure(speeds, start, speed)
    return speeds


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prompts_are_done_sooner_by_expected_time_than_by_queued_tokens(seed):
    """Guards against equal queues at engines of unequal speed.

    60 gateways whose finished prompts are known 0.2 s late send bursts of 2 to eight engines. By
    queued tokens, 95 in 100 prompts took up to 0.37 to 0.43 s; 0.259 s are asked for.
    """
    by_tokens = PrefillReplay(FACTORS, 0.5, seed=seed, learns=False).run()
    by_time = PrefillReplay(FACTORS, 0.5, seed=seed).run()
    assert by_tokens.quantile(since=10.0) > 1.4 * 0.259
    assert by_time.share_done_within(0.259, since=10.0) >= 0.95


@pytest.mark.parametrize("load", [1.0, 1.5, 2.2])
def test_fewer_prompts_are_left_to_decode_engines_over_capacity(load):
    """With more than the capacity, queues are kept short and the fast engines do their part."""
    by_tokens = PrefillReplay(FACTORS, load, burst=1.0, seconds=15, learns=False, may_overflow=True)
    by_time = PrefillReplay(FACTORS, load, burst=1.0, seconds=15, may_overflow=True)
    by_tokens.run(), by_time.run()
    assert by_time.overflowed < by_tokens.overflowed
    assert by_time.quantile(since=5.0) < 0.8 * by_tokens.quantile(since=5.0)


def test_a_coordinator_that_knows_no_speeds_is_no_worse_and_learns_them_within_seconds():
    by_tokens = PrefillReplay(FACTORS, 0.5, seconds=4, learns=False).run()
    by_time = PrefillReplay(FACTORS, 0.5, seconds=4).run()
    assert by_time.quantile() <= by_tokens.quantile()
    factors = [by_time.speeds.factor(each.start, by_time.now) for each in by_time.engines]
    assert factors[2] > 1.8 and factors[5] > 1.8 and factors[0] == factors[7] == 1.0


def test_an_engine_that_becomes_slow_gets_fewer_prompts_until_it_recovers():
    replay, counts = PrefillReplay((1.0,) * 6, 0.5, seconds=60), []

    def set_speed(factor):
        counts.append(replay.count_by_id["pre-0"])
        replay.factor_by_id["pre-0"] = factor

    # Each ten seconds have one burst.
    for when, factor in ((10, 1.0), (20, 0.3), (30, 0.3), (40, 1.0), (50, 1.0)):
        replay.at(when, set_speed, factor)
    replay.run()
    counts.append(replay.count_by_id["pre-0"])
    before, learning, slow, recovering, recovered = (
        later - earlier for earlier, later in itertools.pairwise(counts)
    )
    assert slow < 0.5 * before and slow <= learning < before
    assert recovered > 0.8 * before and recovering > slow


def test_a_change_is_reported_once_when_an_engine_is_slow_and_once_when_it_recovers():
    speeds, changes = all_equal(), []
    for began, speed in ((10.0, 20_000.0), (20.0, 50_000.0)):
        for number in range(20):
            sample = PrefillSample(5000, 5000 / speed)
            change = speeds.record(STARTS[0], sample, began + number / 2)
            if change is not None:
                changes.append((change.is_slower, number / 2))
    assert [is_slower for is_slower, _ in changes] == [True, False]
    assert changes[0][1] <= 4.0 and changes[1][1] <= 1.0
    assert speeds.changes == 2


def test_engines_of_equal_speed_are_chosen_by_their_queues_alone():
    """Guards against other choices than before where engines don't differ.

    Measured times of equal engines differ by some percent, for example across zones.
    """
    speeds = EngineSpeeds()
    for number, start in enumerate(STARTS):
        measure(speeds, start, 50_000.0 * (1.0 + 0.04 * number))
    assert {speeds.factor(start, 6.0) for start in STARTS} == {1.0}
    queued = TokenLedger()
    engines = [prefill_engine(number) for number in range(4)]
    for number, tokens in enumerate((9000, 7000, 8000, 6999)):
        queued.take(f"pre-{number}", tokens)
    for vm in ("vm-1", "vm-2", "vm-3"):
        chosen = choose_prefill_engine(engines, queued, speeds, Placer(vm, "hall"), False, 9, 6.0)
        assert chosen is not None and chosen.id == "pre-3"


@pytest.mark.parametrize("lacks_peer_loads", [False, True])
def test_idle_engines_of_equal_speed_are_not_all_used_in_the_order_of_their_ids(lacks_peer_loads):
    """Gateways that learn late of each other would all send to the engine with the smallest id."""
    engines = [prefill_engine(number) for number in range(4)]
    chosen = [
        choose_prefill_engine(engines, TokenLedger(), EngineSpeeds(), placer, False, 5000, 0.0)
        for placer in (Placer(f"vm-{vm}", "hall", lacks_peer_loads) for vm in range(60))
    ]
    count = {each.id: chosen.count(each) for each in engines}
    assert min(count.values()) >= 6


def test_gateways_without_the_loads_of_others_use_engines_in_proportion_to_their_speed():
    """Guards against all gateways choosing the fastest engine, whose queue they don't know."""
    speeds = EngineSpeeds()
    for start, speed in zip(STARTS, (35_000.0, 35_000.0, 85_000.0, 35_000.0), strict=True):
        measure(speeds, start, speed)
    engines = [prefill_engine(number) for number in range(4)]
    chosen = [
        choose_prefill_engine(
            engines, TokenLedger(), speeds, Placer(f"vm-{vm}", "hall", True), False, 5000, 6.0
        )
        for vm in range(400)
    ]
    share = chosen.count(engines[2]) / 400
    assert 0.35 < share < 0.55  # 85 of 190 is 0.45.


def test_an_engine_that_seems_a_thousand_times_as_fast_gets_no_more_than_three_times_a_share():
    """Guards against one engine with false measurements that takes all prompts."""
    replay = PrefillReplay((1.0,) * 6, 0.5, seconds=20, learns=False)
    for number in range(6):
        speed = 55_600.0 * (1000.0 if number == 0 else 1.0)
        measure(replay.speeds, replay.engines[number].start, speed)
    replay.run()
    assert replay.speeds.factor(replay.engines[0].start, 6.0) <= 3.0
    assert replay.count_by_id["pre-0"] <= 3.0 / 8.0 * sum(replay.count_by_id.values())


def test_one_false_measurement_changes_little():
    for seconds in (1e-6, 59.0):
        speeds = all_equal()
        speeds.record(STARTS[0], PrefillSample(5000, seconds), 6.0)
        assert speeds.factor(STARTS[0], 6.0) == 1.0


@pytest.mark.parametrize(
    "sample",
    [
        PrefillSample(0, 0.1),
        PrefillSample(-5, 0.1),
        PrefillSample(10**12, 0.1),
        PrefillSample(5000, 0.0),
        PrefillSample(5000, -1.0),
        PrefillSample(5000, float("inf")),
        PrefillSample(5000, 0.1, -1),
        PrefillSample(20, 0.1),
    ],
)
def test_samples_that_cannot_be_prefills_are_ignored(sample):
    speeds = EngineSpeeds()
    assert speeds.record(STARTS[0], sample, 0.0) is None
    assert speeds.effective(STARTS[0], sample) is None
    assert speeds.starts == ()


def test_time_in_the_queue_is_not_taken_for_a_slow_engine():
    speeds = all_equal()
    measure(speeds, STARTS[0], 50_000.0, ahead=20_000, began=6.0)
    assert speeds.factor(STARTS[0], 12.0) == 1.0


def test_a_slow_engine_is_noticed_though_its_queue_is_never_empty():
    speeds = all_equal()
    measure(speeds, STARTS[0], 15_000.0, ahead=20_000, began=6.0)
    assert speeds.factor(STARTS[0], 12.0) < 0.5
    shown = speeds.effective(STARTS[1], PrefillSample(5000, 25_000 / 15_000, 20_000))
    assert shown is not None and shown.tokens / shown.seconds == pytest.approx(15_000, rel=0.01)
    assert speeds.effective(STARTS[1], PrefillSample(5000, 0.3, 20_000)) is None


def test_unknown_queues_are_weak_evidence_of_a_slow_engine():
    """Guards against queues of a burst that are taken for work of the engines."""
    speeds = all_equal()
    for number in range(12):
        speeds.record(STARTS[0], PrefillSample(5000, 0.4, None), 6.0 + number / 2)
    assert speeds.factor(STARTS[0], 12.0) == 1.0
    for number in range(8):
        speeds.record(EngineStart("new", 1), PrefillSample(5000, 0.1, None), number / 2)
    for number in range(8):
        speeds.record(EngineStart("new", 1), PrefillSample(5000, 0.4, None), 4.0 + number / 2)
    assert 40_000 <= speeds.tokens_per_second(EngineStart("new", 1), 8.0) <= 50_000


def test_measurements_with_unknown_queues_do_not_hide_that_an_engine_is_slow():
    """Guards against a coordinator whose own prompts keep the estimate as it was."""
    speeds = all_equal()
    for number in range(24):
        now = 6.0 + number / 4
        ahead = None if number % 2 else 0
        speeds.record(STARTS[0], PrefillSample(5000, 0.4, ahead), now)
    assert speeds.factor(STARTS[0], 12.0) < 0.3


def test_speeds_that_were_not_measured_for_long_return_to_the_median():
    """Guards against an engine that was slow once and is never used again."""
    speeds = all_equal()
    measure(speeds, STARTS[0], 10_000.0, began=6.0)
    assert speeds.factor(STARTS[0], 12.0) < 0.25
    assert speeds.confidence(STARTS[0], 12.0) > 0.9 > 0.6 > speeds.confidence(STARTS[0], 52.0)
    assert speeds.factor(STARTS[0], 72.0) > 0.5
    speeds.expire(700.0)
    assert speeds.starts == () and speeds.factor(STARTS[0], 700.0) == 1.0


def test_another_start_of_an_engine_has_no_speed_yet():
    speeds = all_equal()
    measure(speeds, STARTS[0], 10_000.0, began=6.0)
    assert speeds.factor(EngineStart("pre-0", 2), 12.0) == 1.0


def test_services_have_speeds_of_their_own():
    """A service with a small model would make all engines of another one look slow."""
    by_service = ServiceSpeeds()
    measure(by_service.of("small"), STARTS[0], 500_000.0)
    assert by_service.of("large").median == 50_000.0
    assert by_service.known_engines == 1


def test_a_coordinator_remembers_what_was_before_granted_prompts_for_a_while():
    granted = GrantedPrefills()
    granted.add("vm-1", "pre-0", 5000, 0, 0.0)
    granted.add("vm-1", "pre-0", 5000, 7000, 0.1)
    granted.add("vm-1", "pre-0", 5000, 0, 0.2)
    assert granted.ahead("vm-1", "pre-0", 5000, 1.0) == 7000
    assert granted.ahead("vm-2", "pre-0", 5000, 1.0) is None
    assert granted.ahead("vm-1", "pre-0", 5000, 0.3 + KEPT_SECONDS) is None
    for number in range(2 * MAX_KEPT):
        granted.add("vm-3", "pre-0", number, 0, 20.0)
    assert granted.ahead("vm-3", "pre-0", 0, 20.0) is None
    assert granted.ahead("vm-3", "pre-0", 2 * MAX_KEPT - 1, 20.0) == 0
