"""Slopes of engines' reports: their size and the time to read one, idle and with requests."""

from pimentoquay.backends.base import EngineRole, EngineStatus, RunningRequest
from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call
from pimentoquay.kernel import plugin
from pimentoquay.kernel.json_data import from_json, to_json
from pimentoquay.messages.placement import Stage

__all__ = ["report_slopes"]

RUNNING = 20
CALLS = 500


@plugin("slope", "reports")
def report_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure an idle engine's report, and what each running request adds to it."""
    idle, busy = to_json(_status(0)), to_json(_status(RUNNING))
    size = (len(busy) - len(idle)) / RUNNING
    idle_times = time_per_call(lambda: from_json(EngineStatus, idle), CALLS, repeats)
    busy_times = time_per_call(lambda: from_json(EngineStatus, busy), CALLS, repeats)
    more = [
        (one - other) / RUNNING
        for one, other in zip(sorted(busy_times), sorted(idle_times), strict=True)
    ]
    return (
        slope_of("size of an idle engine's report", "B", "report", [float(len(idle))]),
        slope_of("size of a report", "B", "running request", [size]),
        slope_of("reading an idle engine's report", "µs", "report", idle_times),
        slope_of("reading a report", "µs", "running request", more),
    )


def _status(running: int) -> EngineStatus:
    requests = tuple(
        RunningRequest(f"rates-hall/{number:032}", 0, Stage.DECODE, True, 4000, 0.0)
        for number in range(running)
    )
    return EngineStatus(
        "diag-llm-city-hall-d1",
        "diag-llm",
        "v1",
        (),
        EngineRole.DECODE,
        RUNNING,
        running,
        1_000_000,
        4000 * running,
        0,
        17,
        0.25,
        requests,
    )
