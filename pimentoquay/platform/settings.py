"""The settings file that the platform writes for each process.

The file keeps the platform's own format, JSON, and its names; unknown fields are ignored. The
environment variable ``PIMENTOQUAY_CONFIG`` holds its path.
"""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pimentoquay.platform.fields import DecodeError, object_of, optional, required, seconds_of

__all__ = ["SETTINGS_VARIABLE", "Bounds", "DeploymentSettings", "load_deployment"]

SETTINGS_VARIABLE = "PIMENTOQUAY_CONFIG"


@dataclass(frozen=True)
class Bounds:
    """The figures of the rules that the system's decisions use, in seconds unless named so."""

    drain_seconds: float
    lease_seconds: float
    grace_seconds: float
    config_seconds: float
    repeat_ratio: float
    repeat_window_seconds: float
    repeat_slack: float


@dataclass(frozen=True)
class DeploymentSettings:
    """What one process learns about itself and its deployment.

    ``control_addresses`` are those of up to three VMs, which may be out of date.
    """

    vm: str
    data_centre: str
    region: str
    host: str
    callers_address: str
    readiness_address: str
    control_address: str
    control_addresses: tuple[str, ...]
    store_address: str
    bounds: Bounds


def load_deployment(path: Path | None = None) -> DeploymentSettings:
    """Read the settings file; ``DecodeError`` naming file and field if it is malformed."""
    path = path or Path(os.environ.get(SETTINGS_VARIABLE, "/etc/pimentoquay/local.json"))
    try:
        item = object_of(path.read_bytes(), str(path))
        return _decode(item)
    except OSError as error:
        raise DecodeError(f"{path}: {error}") from None
    except DecodeError as error:
        raise DecodeError(f"{path}: {error}") from None


def _decode(item: dict[str, Any]) -> DeploymentSettings:
    listen = required(item, "listen", dict)
    platform = required(item, "platform", dict)
    return DeploymentSettings(
        vm=required(item, "nodeName", str),
        data_centre=required(item, "zone", str),
        region=optional(item, "region", str, ""),
        host=required(item, "ipAddr", str),
        callers_address=required(listen, "frontAddr", str),
        readiness_address=required(listen, "readyAddr", str),
        control_address=optional(listen, "controlAddr", str, ""),
        control_addresses=tuple(str(seed) for seed in optional(item, "seedAddrs", list, [])),
        store_address=required(platform, "address", str),
        bounds=_decode_bounds(optional(item, "bounds", dict, {})),
    )


def _decode_bounds(item: dict[str, Any]) -> Bounds:
    return Bounds(
        drain_seconds=seconds_of(item, "drainMs", 2000.0),
        lease_seconds=seconds_of(item, "leaseMs", 3000.0),
        grace_seconds=optional(item, "graceS", float, 8.0),
        config_seconds=seconds_of(item, "configApplyMs", 2000.0),
        repeat_ratio=optional(item, "retryBudgetRatio", float, 0.2),
        repeat_window_seconds=optional(item, "budgetWindowS", float, 10.0),
        repeat_slack=optional(item, "retryBudgetSlack", float, 0.0),
    )
