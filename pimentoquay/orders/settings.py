"""The settings of the orders part and of the once-only part."""

from dataclasses import dataclass

from pimentoquay.kernel.settings import setting

__all__ = ["OnceOnlySection"]


@dataclass(frozen=True)
class OnceOnlySection:
    """The ``[once_only]`` section: idempotency keys of non-idempotent requests."""

    batch_window: float = setting(
        default=0.1,
        low=0.0,
        high=5.0,
        unit="s",
        help="the shortest time between two appends of the keys of one bucket",
    )
    claim_timeout: float = setting(
        default=2.0, low=0.05, high=60.0, unit="s", help="the longest wait for the log service"
    )
    key_lifetime: float = setting(
        default=3600.0,
        low=1.0,
        high=1e7,
        unit="s",
        help="how long a key is remembered; at most the retention of the log service",
    )
    outcome_timeout: float = setting(
        default=60.0,
        low=0.1,
        high=1e6,
        unit="s",
        help="time after which a claim without an outcome is answered with outcome unknown",
    )
