"""The ``[scheduler]`` section of the control process's settings."""

from dataclasses import dataclass

from pimentoquay.kernel.settings import setting

__all__ = ["SchedulerSection"]


@dataclass(frozen=True)
class SchedulerSection:
    """How shards are scheduled; the flags exist to compare policies."""

    status_period: float = setting(
        default=1.0, low=0.1, high=10, unit="s", help="time between looks at an engine's status"
    )
    quiet_status_period: float = setting(
        default=5.0,
        low=0.1,
        high=60,
        unit="s",
        help="time between looks while the ledger explains what the engine holds",
    )
    cache_event_period: float = setting(
        default=0.0,
        low=0,
        high=3600,
        unit="s",
        help="time between reads of an engine's cache events; 0 reads them only at first",
    )
    tick: float = setting(
        default=0.01,
        low=0.001,
        high=1,
        unit="s",
        help="time between decisions while only a busy link is in the way",
    )
    rebuild_grace: float = setting(
        default=0.4, low=0, high=10, unit="s", help="time a new owner waits for entries' grants"
    )
    resume_grace: float = setting(
        default=1.2, low=0, high=30, unit="s", help="time a lost entry's streams may be resumed"
    )
    lease_seconds: float = setting(
        default=4.0, low=1, high=60, unit="s", help="time without renewal that ends a lease"
    )
    sweep_grace: float = setting(
        default=3.0, low=0.5, high=60, unit="s", help="age at which unexplained KV is cancelled"
    )
    max_queued: int = setting(default=2000, low=1, high=100000, help="longest queue of a shard")
    deadline_share: float = setting(
        default=0.95, low=0.1, high=1, help="part of the deadline that estimates may fill"
    )
    fair_quantum: float = setting(
        default=5.0, low=0.1, high=1000, unit="slot-seconds", help="lead over the fair share"
    )
    release_share: float = setting(
        default=0.0, low=0, high=1, help="part of the expected slot releases that is promised"
    )
    slot_slack: float = setting(
        default=0.0, low=0, high=1, unit="s", help="time that KV may wait for a slot"
    )
    retry_fraction: float = setting(
        default=0.1, low=0, high=1, help="retries earned by each success"
    )
    retry_reserve: float = setting(default=60.0, low=1, high=1000, help="retries saved at most")
    longest_circuit_wait: float = setting(
        default=1.0, low=0.1, high=60, unit="s", help="longest wait before a probe"
    )
    admission: bool = setting(default=True, help="refuse early what cannot meet its target")
    reservation: bool = setting(default=True, help="start prefill only when a slot will be free")
    fairness: bool = setting(default=True, help="share the queue between workspaces")
    prefixes: bool = setting(default=True, help="prefer engines that cache the prompt")
    learning: bool = setting(default=True, help="learn the speed of each engine")
    circuits: bool = setting(default=True, help="leave refusing engines alone, with one probe")
    rescue: bool = setting(default=True, help="retry a stalled transfer while its KV lives")
