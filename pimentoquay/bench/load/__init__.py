"""A mixed load on real entries over HTTP, checked at callers, engines and plain services."""

from pimentoquay.bench.load.plan import LoadPlan, StreamPlan, read_plan
from pimentoquay.bench.load.tally import LoadReport, Outcome, Tally

__all__ = ["LoadPlan", "LoadReport", "Outcome", "StreamPlan", "Tally", "read_plan"]
