"""Size of engine status reports and the time to parse them, by the number of running requests."""

from pimentoquay.backends.base import EngineRole, EngineStatus, RunningRequest
from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call
from pimentoquay.kernel import plugin
from pimentoquay.kernel.json_data import from_json, to_json
from pimentoquay.messages.placement import Stage

__all__ = ["report_slopes"]

RUNNING_REQUESTS = 20
CALLS_PER_SAMPLE = 500


@plugin("slope", "reports")
def report_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure the report of an idle engine, and what each running request adds to a report."""
    idle, busy = to_json(_status(0)), to_json(_status(RUNNING_REQUESTS))
    size = (len(busy) - len(idle)) / RUNNING_REQUESTS
    idle_times = time_per_call(lambda: from_json(EngineStatus, idle), CALLS_PER_SAMPLE, repeats)
    busy_times = time_per_call(lambda: from_json(EngineStatus, busy), CALLS_PER_SAMPLE, repeats)
    per_request_times = [
        (busy_time - idle_time) / RUNNING_REQUESTS
        for busy_time, idle_time in zip(sorted(busy_times), sorted(idle_times), strict=True)
    ]
    return (
        slope_of("size of an idle engine's report", "B", "report", [float(len(idle))]),
        slope_of("size of a report", "B", "running request", [size]),
        slope_of("reading an idle engine's report", "µs", "report", idle_times),
        slope_of("reading a report", "µs", "running request", per_request_times),
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
        RUNNING_REQUESTS,
        running,
        1_000_000,
        4000 * running,
        0,
        17,
        0.25,
        requests,
    )
