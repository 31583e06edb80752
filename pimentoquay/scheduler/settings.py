"""Settings of the scheduler, section ``[scheduler]`` of the control process's settings."""

from dataclasses import dataclass

from pimentoquay.kernel.settings import setting

__all__ = ["SchedulerSection"]


@dataclass(frozen=True)
class SchedulerSection:
    """Timing, limits and policies of shard schedulers.

    The boolean settings switch single policies off, so that benchmarks can compare them.
    """

    status_period: float = setting(
        default=1.0, low=0.1, high=10, unit="s", help="time between two status polls of an engine"
    )
    quiet_status_period: float = setting(
        default=5.0,
        low=0.1,
        high=60,
        unit="s",
        help="time between two status polls while grants explain all that the engine holds",
    )
    cache_event_period: float = setting(
        default=0.0,
        low=0,
        high=3600,
        unit="s",
        help="time between reads of an engine's cache events; "
        "0 reads them only at the start and after the engine was unreachable",
    )
    tick: float = setting(
        default=0.01,
        low=0.001,
        high=1,
        unit="s",
        help="time between placement attempts while only a busy link prevents a placement",
    )
    rebuild_grace: float = setting(
        default=0.4,
        low=0,
        high=10,
        unit="s",
        help="time a new owner waits for entries to announce their grants",
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
        default=0.95,
        low=0.1,
        high=1,
        help="part of the deadline that the estimated time to the first token may use",
    )
    fair_quantum: float = setting(
        default=5.0,
        low=0.1,
        high=1000,
        unit="slot-seconds",
        help="lead that a workspace may have over its fair share",
    )
    release_share: float = setting(
        default=0.0,
        low=0,
        high=1,
        help="part of the expected slot releases that may be promised in advance",
    )
    slot_slack: float = setting(
        default=0.0, low=0, high=1, unit="s", help="time that a KV cache may wait for a slot"
    )
    retry_fraction: float = setting(
        default=0.1, low=0, high=1, help="retries earned by each success"
    )
    retry_reserve: float = setting(default=60.0, low=1, high=1000, help="most unused retries kept")
    longest_circuit_wait: float = setting(
        default=1.0, low=0.1, high=60, unit="s", help="longest wait before a probe"
    )
    admission: bool = setting(
        default=True, help="refuse early a request that cannot meet its deadline"
    )
    reservation: bool = setting(default=True, help="start prefill only when a slot will be free")
    fairness: bool = setting(default=True, help="share the queue between workspaces")
    prefixes: bool = setting(default=True, help="prefer engines that cache the prompt")
    learning: bool = setting(default=True, help="learn the speed of each engine")
    circuits: bool = setting(
        default=True, help="stop using engines and links that refuse or fail, except for one probe"
    )
    rescue: bool = setting(
        default=True, help="retry a stalled transfer before its KV cache expires"
    )
