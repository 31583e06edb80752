"""Regression tests: shortened schedules that broke an invariant in earlier versions."""

from pimentoquay.bench.faults.runner import run_schedule
from pimentoquay.bench.faults.schedule import Step
from pimentoquay.kernel.logs import logger


def test_leaving_engine_gets_no_work_after_a_control_process_dies():
    logger.remove()
    steps = (
        Step("engine leaves", 1.63, 0.6, 603, 10),
        Step("kill control", 1.95, 5.0, 735, 594),
    )
    assert run_schedule(5672, steps).violations == ()


def test_unused_grant_is_returned_so_that_its_engine_can_drain():
    logger.remove()
    published = [Step("publish race", 1.0 + 4 * vm, 0.2, vm, vm + 1) for vm in range(4)]
    paused = [Step("pause control", 1.3 + 4 * vm, 5.0, vm, 0) for vm in range(4)]
    steps = tuple(sorted(published + paused, key=lambda step: step.at))
    assert run_schedule(1, steps).violations == ()
