from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.engine_speeds import EngineSpeeds
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.prefill_choice import (
    DECODE_ONLY_PAUSE_SHARE,
    MAX_QUEUE_SECONDS,
    PrefillSpeed,
    can_prefill_on_decode_engine,
    choose_prefill_engine,
    select_decode_engines,
)
from pimentoquay.policy.token_ledger import TokenLedger


def engine(name, data_centre):
    return EngineEntry(name, "llm", "10.0.0.1:1", data_centre, False, 64, EngineStage.PREFILL)


ENGINES = (engine("far", "other"), engine("near", "hall"))
PLACER = Placer("vm-1", "hall")


def chosen(queued):
    engine = choose_prefill_engine(
        ENGINES, queued, EngineSpeeds(), PLACER, True, tokens=5200, now=0.0
    )
    return engine.id if engine else None


def test_shortest_queue_over_all_gateways_wins_and_the_local_one_among_equals():
    queued = TokenLedger()
    assert chosen(queued) == "near"
    queued.set_peer("vm-2", {"near": 5000})
    assert chosen(queued) == "far"
    queued.take("far", 8000)
    assert chosen(queued) == "near"


def test_burst_on_few_prefill_engines_overflows_to_the_decode_engines():
    """Guards against a prefill queue that grows without bound.

    14 prompts per second arrive for an engine that prefills ten per second.
    """
    queued = TokenLedger()
    longest, overflowed = 0.0, 0
    prefill_ends: list[float] = []
    for step in range(500):
        now = step * 0.01
        while prefill_ends and prefill_ends[0] <= now:
            prefill_ends.pop(0)
            queued.release("near", 5200)
        if step % 7 == 0:
            engine = choose_prefill_engine(
                ENGINES[1:], queued, EngineSpeeds(), PLACER, True, tokens=5200, now=now
            )
            if engine is None:
                overflowed += 1
                continue
            queued.take("near", 5200)
            prefill_ends.append(max([now, *prefill_ends[-1:]]) + 0.1)
            longest = max(longest, prefill_ends[-1] - now)
    assert overflowed > 10
    assert longest < MAX_QUEUE_SECONDS + 0.2


def test_speed_follows_fast_prefills_and_not_queued_ones():
    speed = PrefillSpeed()
    for _ in range(20):
        speed.record(5000, 0.05)
    fast = speed.tokens_per_second
    assert fast > 95_000
    speed.record(5000, 1.0)
    assert speed.tokens_per_second > 0.95 * fast
    speed.record(0, 1.0)


def test_long_prompt_is_queued_rather_than_pausing_the_streams_of_a_decode_engine():
    """Guards against long prompts on decode engines.

    Each prompt of 8,000 tokens that a decode engine prefilled made nine streams late.
    """
    speed = PrefillSpeed()
    assert can_prefill_on_decode_engine(3000, speed, gap_seconds=0.3)
    assert not can_prefill_on_decode_engine(5000, speed, gap_seconds=0.3)
    queued = TokenLedger()
    for engine in ENGINES:
        queued.take(engine.id, 100_000)
    assert chosen(queued) is None
    queued_engine = choose_prefill_engine(
        ENGINES, queued, EngineSpeeds(), PLACER, False, tokens=5000, now=0.0
    )
    assert queued_engine is not None and queued_engine.id == "near"


def test_without_prefill_engines_long_prompts_disturb_few_streams():
    """Guards against sending long prompts to all decode engines if there are no prefill engines.

    Only three of six engines were left, and for half of the day none of them was a prefill engine.
    Each long prompt made all streams on its engine late.
    """
    speed = PrefillSpeed()
    engines = tuple(engine(f"e{number}", "hall") for number in range(3))
    disturbed = {each.id: 0 for each in engines}
    streams = dict.fromkeys(disturbed, 0)
    for tokens in (3000, 9000, 4000, 5000, 8000, 2500, 7500, 5500, 4500, 9500):
        is_short = can_prefill_on_decode_engine(tokens, speed, 0.3, DECODE_ONLY_PAUSE_SHARE)
        first, _ = select_decode_engines(engines, is_short)
        chosen = min(first, key=lambda each: streams[each.id]).id
        disturbed[chosen] += 0 if is_short else streams[chosen]
        streams[chosen] += 1
    assert [name for name, count in disturbed.items() if count] == ["e0"]
    assert streams["e1"] + streams["e2"] >= 4


def test_without_prefill_engines_short_prompts_may_go_anywhere_and_one_engine_takes_all():
    engines = tuple(engine(f"e{number}", "hall") for number in range(3))
    first, fallback = select_decode_engines(engines, is_short=True)
    assert [each.id for each in (*first, *fallback)] == ["e1", "e2", "e0"]
    assert select_decode_engines(engines[:1], is_short=False) == ([engines[0]], ())
    assert select_decode_engines(engines[:1], is_short=True) == ([engines[0]], ())
