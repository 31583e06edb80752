"""Mixed load on running entries over HTTP, checked at the callers, engines and plain services."""

from pimentoquay.bench.load.plan import LoadPlan, StreamPlan, read_plan
from pimentoquay.bench.load.tally import LoadReport, Outcome, Tally

__all__ = ["LoadPlan", "LoadReport", "Outcome", "StreamPlan", "Tally", "read_plan"]
