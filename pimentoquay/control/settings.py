"""The settings of the control process: its own sections and one for each part."""

from dataclasses import dataclass

from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.control.usage import UsageSection
from pimentoquay.kernel.sections import ClusterSection, LogSection, PlatformSection, VmSection
from pimentoquay.kernel.settings import setting
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.orders.settings import OnceOnlySection, OrdersSection
from pimentoquay.scheduler.settings import SchedulerSection

__all__ = ["ControlSection", "ControlSettings", "OperatorSection"]


@dataclass(frozen=True)
class ControlSection:
    """Where the control process listens."""

    listen: str = setting(help="IP:PORT for peers, entries and operators")


@dataclass(frozen=True)
class OperatorSection:
    """The operator part, which has no settings."""


@dataclass(frozen=True)
class ControlSettings:
    """Every section of a control process's settings file."""

    vm: VmSection
    cluster: ClusterSection
    platform: PlatformSection
    control: ControlSection
    log: LogSection
    membership: MembershipSection
    configuration: ConfigurationSection
    scheduler: SchedulerSection
    orders: OrdersSection
    once_only: OnceOnlySection
    usage: UsageSection
    operator: OperatorSection
