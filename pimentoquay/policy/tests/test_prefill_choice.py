from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.prefill_choice import (
    LONGEST_QUEUE_SECONDS,
    PrefillSpeed,
    choose_prefill_engine,
    may_read_at_decode_engine,
)
from pimentoquay.policy.token_ledger import TokenLedger


def engine(name, data_centre):
    return EngineEntry(name, "llm", "10.0.0.1:1", data_centre, False, 64, EngineStage.PREFILL)


ENGINES = (engine("far", "other"), engine("near", "hall"))
PLACER = Placer("vm-1", "hall")


def chosen(queued):
    engine = choose_prefill_engine(ENGINES, queued, PrefillSpeed(), PLACER, may_overflow=True)
    return engine.id if engine else None


def test_the_shortest_queue_over_all_gateways_wins_and_the_near_one_among_equals():
    queued = TokenLedger()
    assert chosen(queued) == "near"
    queued.set_peer("vm-2", {"near": 5000})
    assert chosen(queued) == "far"
    queued.take("far", 8000)
    assert chosen(queued) == "near"


def test_a_burst_before_few_prefill_engines_overflows_to_the_decode_engines():
    """Fifteen prompts a second before one engine that reads ten: none queues without end."""
    queued, speed = TokenLedger(), PrefillSpeed()
    longest, overflowed = 0.0, 0
    reading: list[float] = []
    for step in range(500):
        now = step * 0.01
        while reading and reading[0] <= now:
            reading.pop(0)
            queued.release("near", 5200)
        if step % 7 == 0:
            engine = choose_prefill_engine(ENGINES[1:], queued, speed, PLACER, may_overflow=True)
            if engine is None:
                overflowed += 1
                continue
            queued.take("near", 5200)
            reading.append(max([now, *reading[-1:]]) + 0.1)
            longest = max(longest, reading[-1] - now)
    assert overflowed > 10
    assert longest < LONGEST_QUEUE_SECONDS + 0.2


def test_the_speed_follows_fast_prefills_and_not_those_that_queued():
    speed = PrefillSpeed()
    for _ in range(20):
        speed.note(5000, 0.05)
    fast = speed.tokens_per_second
    assert fast > 95_000
    speed.note(5000, 1.0)
    assert speed.tokens_per_second > 0.95 * fast
    speed.note(0, 1.0)


def test_a_long_prompt_queues_rather_than_pause_all_streams_of_a_decode_engine():
    """Prompts of 8,000 tokens, read by decode engines, made nine streams late at a time."""
    speed = PrefillSpeed()
    assert may_read_at_decode_engine(3000, speed, gap_seconds=0.3)
    assert not may_read_at_decode_engine(5000, speed, gap_seconds=0.3)
    queued = TokenLedger()
    for engine in ENGINES:
        queued.take(engine.id, 100_000)
    assert chosen(queued) is None
    kept = choose_prefill_engine(ENGINES, queued, speed, PLACER, may_overflow=False)
    assert kept is not None and kept.id == "near"
