"""The settings of the entry process."""

from dataclasses import dataclass

from pimentoquay.kernel.sections import ClusterSection, LogSection, VmSection
from pimentoquay.kernel.settings import setting

__all__ = ["ControlLinkSection", "EntrySettings", "HttpSection"]


@dataclass(frozen=True)
class ControlLinkSection:
    """Settings of the connection to the control process of the entry's VM."""

    address: str = setting(help="IP:PORT of the control process of this VM")


@dataclass(frozen=True)
class HttpSection:
    """Settings of the HTTP server for callers, and its limits."""

    listen: str = setting(help="IP:PORT for callers")
    max_body_bytes: int = setting(
        default=1_048_576, low=1024, high=67_108_864, unit="bytes", help="the largest body"
    )
    max_header_bytes: int = setting(
        default=32_768, low=1024, high=1_048_576, unit="bytes", help="the largest set of headers"
    )
    header_seconds: float = setting(
        default=10.0, low=0.1, high=600.0, unit="s", help="how long the headers may take to come"
    )
    body_seconds: float = setting(
        default=30.0, low=0.1, high=600.0, unit="s", help="how long a body may take to come"
    )
    idle_seconds: float = setting(
        default=75.0, low=1.0, high=3600.0, unit="s", help="how long an idle connection stays open"
    )
    max_requests: int = setting(
        default=2000, low=1, high=100_000, help="requests in progress at once in this process"
    )
    drain_notice_seconds: float = setting(
        default=3.0,
        low=0.0,
        high=600.0,
        unit="s",
        help="how long new requests are still taken after /readyz has turned to 503",
    )


@dataclass(frozen=True)
class EntrySettings:
    """All sections of the settings file of an entry process."""

    vm: VmSection
    cluster: ClusterSection
    control: ControlLinkSection
    http: HttpSection
    log: LogSection
