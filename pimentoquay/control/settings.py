"""Settings of the control process: its own sections and one for each part."""

from dataclasses import dataclass

from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.control.usage import UsageSection
from pimentoquay.kernel.sections import ClusterSection, LogSection, PlatformSection, VmSection
from pimentoquay.kernel.settings import SettingConflict, setting
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.orders.settings import OnceOnlySection, OrdersSection
from pimentoquay.scheduler.settings import SchedulerSection

__all__ = ["ControlSection", "ControlSettings", "OperatorSection"]


@dataclass(frozen=True)
class ControlSection:
    """The ``[control]`` section: address of the control process."""

    listen: str = setting(help="IP:PORT for peers, entries and operators")


@dataclass(frozen=True)
class OperatorSection:
    """The ``[operator]`` section, which has no settings."""


@dataclass(frozen=True)
class ControlSettings:
    """Sections of the settings file of a control process."""

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

    def conflicts(self) -> tuple[SettingConflict, ...]:
        """Return the values that are not allowed in combination with other values."""
        retention = self.configuration.log_retention
        lifetime = self.once_only.key_lifetime
        period = self.membership.heartbeat_period
        silence = self.membership.silent_after
        found = []
        if lifetime > retention:
            allowed = f"at most [configuration] log_retention = {retention:g} s, or a key is"
            allowed += " forgotten by the log while it must be remembered"
            found.append(SettingConflict("once_only", "key_lifetime", f"{lifetime:g}", allowed))
        if silence < 2 * period:
            allowed = f"at least twice [membership] heartbeat_period = {period:g} s"
            found.append(SettingConflict("membership", "silent_after", f"{silence:g}", allowed))
        return tuple(found)
