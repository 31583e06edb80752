"""Interval between two status polls of an engine.

A status report has about 600 bytes, plus 150 for each running request. Polling a shard of 16
engines every second would exceed the control traffic budget of its VM several times over. While
the ledger explains everything that the engine holds, polls can be rare: grants show the load, and
failed requests show failures.
"""

from pimentoquay.policy.engines import EngineLoad

__all__ = ["StatusPollInterval"]

SETTLING_REPORTS = 5
"""Number of reports in a row after which polling slows down if the ledger explains them all.

The ledger of a new owner may still be incomplete at first.
"""


class StatusPollInterval:
    """Computes the wait before the next status poll of one engine.

    Parameters
    ----------
    period
        Seconds between polls while the engine holds something that the ledger does not explain.
    quiet_period
        Seconds between polls while the ledger explains everything.
    """

    def __init__(self, period: float, quiet_period: float) -> None:
        self._period = period
        self._quiet_period = quiet_period
        self._explained_reports = 0

    def after_report(self, load: EngineLoad | None, was_swept: bool) -> float:
        """Return the seconds to wait after a status report.

        Parameters
        ----------
        load
            The engine's load by the ledger, or ``None`` if the ledger does not know the engine.
        was_swept
            Whether the report led to a correction of the ledger or of the engine.
        """
        is_explained = load is not None and load.foreign_slots == 0 and load.foreign_kv == 0
        self._explained_reports = (
            self._explained_reports + 1 if is_explained and not was_swept else 0
        )
        return self._quiet_period if self._explained_reports >= SETTLING_REPORTS else self._period

    def after_failure(self) -> float:
        """Return the seconds to wait after a status request failed."""
        self._explained_reports = 0
        return self._period
