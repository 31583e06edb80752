"""Settings for orders to engines and for claims of idempotency keys."""

from dataclasses import dataclass

from pimentoquay.kernel.settings import setting

__all__ = ["OnceOnlySection", "OrdersSection"]


@dataclass(frozen=True)
class OnceOnlySection:
    """Section ``[once_only]``: idempotency keys of non-idempotent requests."""

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


@dataclass(frozen=True)
class OrdersSection:
    """Section ``[orders]``: leases of shards and reconciliation of the state of their engines."""

    lease: float = setting(
        default=30.0, low=1.0, high=3600.0, unit="s", help="how long a claim of a shard is valid"
    )
    renew_share: float = setting(
        default=0.4, low=0.05, high=0.9, help="part of the lease after which it is renewed"
    )
    longest_pause: float = setting(
        default=10.0,
        low=0.0,
        high=600.0,
        unit="s",
        help="the longest pause of a control process that is allowed for",
    )
    order_timeout: float = setting(
        default=5.0, low=0.1, high=600.0, unit="s", help="the longest time an order may take"
    )
    log_timeout: float = setting(
        default=3.0, low=0.1, high=60.0, unit="s", help="the longest wait for the log service"
    )
    reconcile_period: float = setting(
        default=2.0,
        low=0.1,
        high=600.0,
        unit="s",
        help="how often wanted and observed state are compared",
    )
    loads_at_once: int = setting(
        default=4, low=1, high=1000, help="engines of a data centre that load weights at once"
    )
    load_timeout: float = setting(
        default=300.0,
        low=1.0,
        high=86400.0,
        unit="s",
        help="the longest time that a load of weights may take",
    )
    role_changes: bool = setting(
        default=True, help="whether engines change between prefill and decode as the mix shifts"
    )
    role_high: float = setting(
        default=0.85,
        low=0.1,
        high=1.0,
        help="use of a stage's engines above which it needs another engine",
    )
    role_low: float = setting(
        default=0.5,
        low=0.0,
        high=1.0,
        help="use of the other stage's engines below which it can give up an engine",
    )
    role_hold: float = setting(
        default=30.0,
        low=0.0,
        high=86400.0,
        unit="s",
        help="how long a shift of the request mix must last before an engine changes its role",
    )
    role_dwell: float = setting(
        default=120.0, low=0.0, high=86400.0, unit="s", help="time between two changes of role"
    )
    drain_timeout: float = setting(
        default=300.0,
        low=1.0,
        high=86400.0,
        unit="s",
        help="how long an engine may take to end its work before its change of role is given up",
    )
    prefill_backlog: float = setting(
        default=20000.0,
        low=1.0,
        high=1e9,
        unit="tokens",
        help="tokens waiting at a prefill engine that count as full use",
    )
