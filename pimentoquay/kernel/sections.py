"""Settings sections used by several programs."""

from dataclasses import dataclass

from pimentoquay.kernel.clock import Clock
from pimentoquay.kernel.node import Identity
from pimentoquay.kernel.settings import setting

__all__ = ["ClusterSection", "LogSection", "PlatformSection", "VmSection", "new_identity"]


@dataclass(frozen=True)
class VmSection:
    """The ``[vm]`` section: VM that this process runs on."""

    name: str = setting(help="the VM's name, as on the platform's membership list")
    region: str = setting(help="the region of the VM")
    data_centre: str = setting(help="the data centre of the VM")


@dataclass(frozen=True)
class ClusterSection:
    """The ``[cluster]`` section: settings common to all processes of the system."""

    key: str = setting(help="the shared key by which processes know each other", secret=True)


@dataclass(frozen=True)
class LogSection:
    """The ``[log]`` section: log output to standard error."""

    level: str = setting(
        help="the lowest level that is written",
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    timeline: bool = setting(
        help="write each event of the time line as a line of its own as well", default=False
    )


@dataclass(frozen=True)
class PlatformSection:
    """The ``[platform]`` section: addresses of the platform's services."""

    log: str = setting(help="IP:PORT of the log service")
    membership: str = setting(help="IP:PORT of the membership list")
    weight_store: str = setting(help="IP:PORT of the weight store")


def new_identity(vm: VmSection, process: str, clock: Clock) -> Identity:
    """Return an identity for a process, with its start time in milliseconds as incarnation."""
    return Identity(vm.name, process, vm.region, vm.data_centre, int(clock.wall() * 1000))
