"""Settings of the membership part."""

from dataclasses import dataclass

from pimentoquay.kernel.settings import setting

__all__ = ["MembershipSection"]


@dataclass(frozen=True)
class MembershipSection:
    """The ``[membership]`` section."""

    advertise: str = setting(
        default="", help="control address of this VM as its peers reach it, host:port"
    )
    seeds: str = setting(
        default="",
        help="control addresses dialled while there is no list: vm=host:port with spaces between",
    )
    poll_period: float = setting(
        default=1.0, low=0.1, high=10.0, unit="s", help="how often the reader reads the list"
    )
    poll_timeout: float = setting(
        default=1.5, low=0.1, high=30.0, unit="s", help="the longest wait for the platform's list"
    )
    heartbeat_period: float = setting(
        default=1.0,
        low=0.1,
        high=10.0,
        unit="s",
        help="how often peers are sent a heartbeat; every other one only if its content changed",
    )
    silent_after: float = setting(
        default=3.0, low=0.5, high=60.0, unit="s", help="silence after which a peer counts as dead"
    )
    closed_after: float = setting(
        default=0.75,
        low=0.0,
        high=60.0,
        unit="s",
        help="time after its last channel closed at which a peer counts as dead",
    )
    settle: float = setting(
        default=1.5,
        low=0.0,
        high=60.0,
        unit="s",
        help="the longest wait at start for heartbeats of the listed VMs of the data centre",
    )
    gateways: int = setting(
        default=2,
        low=1,
        high=16,
        help="VMs of a data centre that connect to each of the other data centres",
    )
