"""Schedules that once broke an invariant, as short as they were found."""

from pimentoquay.bench.faults.runner import run_schedule
from pimentoquay.bench.faults.schedule import Step
from pimentoquay.kernel.logs import logger


def test_a_leaving_engine_gets_no_work_though_a_control_process_dies():
    logger.remove()
    steps = (
        Step("engine leaves", 1.63, 0.6, 603, 10),
        Step("kill control", 1.95, 5.0, 735, 594),
    )
    assert run_schedule(5672, steps).violations == ()
