from pimentoquay.backends.base import EngineRole
from pimentoquay.policy.engines import EngineLoad
from pimentoquay.scheduler.status_polling import SETTLING_REPORTS, StatusPollInterval


def load(foreign_slots: int = 0) -> EngineLoad:
    return EngineLoad("e", EngineRole.DECODE, 20, 1000, foreign_slots=foreign_slots)


def test_an_explained_engine_is_polled_less_often():
    poll_interval = StatusPollInterval(1.0, 5.0)
    waits = [poll_interval.after_report(load(), False) for _ in range(SETTLING_REPORTS + 1)]
    assert waits == [1.0] * (SETTLING_REPORTS - 1) + [5.0] * 2


def test_unexplained_memory_a_correction_or_a_failure_shortens_the_wait():
    for interrupt in (
        lambda poll_interval: poll_interval.after_report(load(foreign_slots=1), False),
        lambda poll_interval: poll_interval.after_report(load(), True),
        lambda poll_interval: poll_interval.after_failure(),
    ):
        poll_interval = StatusPollInterval(1.0, 5.0)
        for _ in range(SETTLING_REPORTS):
            poll_interval.after_report(load(), False)
        assert interrupt(poll_interval) == 1.0
        assert poll_interval.after_report(load(), False) == 1.0
