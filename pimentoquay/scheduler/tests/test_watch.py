from pimentoquay.backends.base import EngineRole
from pimentoquay.policy.engines import EngineLoad
from pimentoquay.scheduler.watch import SETTLING_LOOKS, WatchPace


def load(foreign_slots: int = 0) -> EngineLoad:
    return EngineLoad("e", EngineRole.DECODE, 20, 1000, foreign_slots=foreign_slots)


def test_an_explained_engine_is_looked_at_less_often():
    pace = WatchPace(1.0, 5.0)
    waits = [pace.after_look(load(), False) for _ in range(SETTLING_LOOKS + 1)]
    assert waits == [1.0] * (SETTLING_LOOKS - 1) + [5.0] * 2


def test_unexplained_memory_a_correction_or_a_failure_shortens_the_wait():
    for disturb in (
        lambda pace: pace.after_look(load(foreign_slots=1), False),
        lambda pace: pace.after_look(load(), True),
        lambda pace: pace.after_failure(),
    ):
        pace = WatchPace(1.0, 5.0)
        for _ in range(SETTLING_LOOKS):
            pace.after_look(load(), False)
        assert disturb(pace) == 1.0
        assert pace.after_look(load(), False) == 1.0
