"""Settings of the configuration part."""

from dataclasses import dataclass

from pimentoquay.kernel.settings import setting

__all__ = ["ConfigurationSection"]


@dataclass(frozen=True)
class ConfigurationSection:
    """The ``[configuration]`` section: log access, checkpoints and relay."""

    log_retention: float = setting(
        help="How long the log service keeps a record.",
        default=3600.0,
        low=1.0,
        high=1e9,
        unit="s",
    )
    checkpoint_fraction: float = setting(
        help="Age of the newest checkpoint, as a fraction of log_retention, at which the whole "
        "configuration is appended again.",
        default=0.25,
        low=0.01,
        high=0.9,
    )
    checkpoint_part_bytes: int = setting(
        help="Maximum size of a record of a checkpoint.",
        default=65536,
        low=1024,
        high=1048576,
        unit="bytes",
    )
    checkpoint_rate: float = setting(
        help="Maximum rate at which the records of a checkpoint are appended.",
        default=20.0,
        low=0.1,
        high=1000.0,
        unit="1/s",
    )
    log_wait: float = setting(
        help="How long a read of the log waits for the next record.",
        default=2.0,
        low=0.05,
        high=60.0,
        unit="s",
    )
    log_timeout: float = setting(
        help="The log counts as down when a call takes this much longer than its wait.",
        default=3.0,
        low=0.05,
        high=60.0,
        unit="s",
    )
    log_retry: float = setting(
        help="The wait after a failed call of the log.",
        default=0.5,
        low=0.01,
        high=60.0,
        unit="s",
    )
    peer_patience: float = setting(
        help="How long a new VM waits for its peers before it reads the whole log itself.",
        default=3.0,
        low=0.0,
        high=60.0,
        unit="s",
    )
    publish_timeout: float = setting(
        help="How long a publisher waits for the outcome of its change.",
        default=10.0,
        low=0.1,
        high=600.0,
        unit="s",
    )
