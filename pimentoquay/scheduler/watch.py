"""How often an engine is looked at.

A look costs about 600 bytes, and 150 more for each request that runs, so a shard of 16 engines
looked at every second would spend several times its VM's control budget. A ledger that explains
what the engine holds needs no such look: load is known from grants, and failures from requests.
"""

from pimentoquay.policy.engines import EngineLoad

__all__ = ["WatchPace"]

SETTLING_LOOKS = 5
"""Looks at the short period after the watch began, while the ledger may be incomplete."""


class WatchPace:
    """The wait before the next look at one engine.

    Parameters
    ----------
    period, quiet_period
        Seconds between looks while something is unexplained, and while nothing is.
    """

    def __init__(self, period: float, quiet_period: float) -> None:
        self._period = period
        self._quiet_period = quiet_period
        self._calm_looks = 0

    def after_look(self, load: EngineLoad | None, was_swept: bool) -> float:
        """Return the wait after a report; ``was_swept`` tells that it led to a correction."""
        is_calm = load is not None and load.foreign_slots == 0 and load.foreign_kv == 0
        self._calm_looks = self._calm_looks + 1 if is_calm and not was_swept else 0
        return self._quiet_period if self._calm_looks >= SETTLING_LOOKS else self._period

    def after_failure(self) -> float:
        """Return the wait after an engine gave no report."""
        self._calm_looks = 0
        return self._period
