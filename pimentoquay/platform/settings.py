"""Read the settings file that the platform writes for each process.

The file is JSON with the platform's field names; unknown fields are ignored. The environment
variable ``PIMENTOQUAY_CONFIG`` holds its path.
"""

import hashlib
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pimentoquay.platform.fields import DecodeError, optional, parse_json, read_seconds, required

__all__ = ["SETTINGS_VARIABLE", "Bounds", "DeploymentSettings", "load_deployment_settings"]

SETTINGS_VARIABLE = "PIMENTOQUAY_CONFIG"


@dataclass(frozen=True)
class Bounds:
    """Limits set by the platform.

    ``drain_seconds`` and ``config_seconds`` limit how long a draining engine and an outdated
    configuration may still be used, ``grace_seconds`` the time from the stop signal to the kill.
    ``lease_seconds`` is how long a new sender of stage orders waits for the previous one. The
    retries in each window are limited to ``repeat_ratio`` of the requests, plus ``repeat_slack``.
    In each ``allowance_window_seconds``, a workspace may exceed its allowance by the share
    ``allowance_overrun`` and by ``allowance_slack`` units.
    """

    drain_seconds: float
    lease_seconds: float
    grace_seconds: float
    config_seconds: float
    repeat_ratio: float
    repeat_window_seconds: float
    repeat_slack: float
    allowance_window_seconds: float = 8.0
    allowance_overrun: float = 0.1
    allowance_slack: float = 0.0


@dataclass(frozen=True)
class DeploymentSettings:
    """Settings of one process and its deployment; addresses are ``host:port``.

    ``control_addresses`` are the peer addresses of up to three VMs and may be out of date.
    ``tunnel_address`` is that at which peers open tunnels to engines, or empty for none.
    ``memory_bytes`` and ``max_descriptors`` limit the process; 0 if not stated.
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
    tunnel_address: str = ""
    memory_bytes: int = 0
    max_descriptors: int = 0

    @property
    def shared_key(self) -> bytes:
        """Key by which the gateways of a deployment recognise each other.

        All of them have the same store address, and the platform gives them no secret.
        """
        return hashlib.sha256(self.store_address.encode()).digest()


def load_deployment_settings(path: Path | None = None) -> DeploymentSettings:
    """Read the settings file; raise ``DecodeError`` with file and field if it is invalid."""
    path = path or Path(os.environ.get(SETTINGS_VARIABLE, "/etc/pimentoquay/local.json"))
    try:
        item = parse_json(path.read_bytes(), str(path))
        return _decode(item)
    except OSError as error:
        raise DecodeError(f"{path}: {error}") from None
    except DecodeError as error:
        raise DecodeError(f"{path}: {error}") from None


def _decode(item: dict[str, Any]) -> DeploymentSettings:
    listen = required(item, "listen", dict)
    platform = required(item, "platform", dict)
    limits = optional(item, "limits", dict, {})
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
        tunnel_address=_tunnel_address(item),
        memory_bytes=int(optional(limits, "memoryMb", float, 0.0) * 1024 * 1024),
        max_descriptors=optional(limits, "maxFds", int, 0),
    )


def _tunnel_address(item: dict[str, Any]) -> str:
    """Return an address at the first of the ports that are free for use between VMs."""
    ports = optional(item, "innerPortRange", list, [])
    is_valid = bool(ports) and type(ports[0]) is int and 0 < ports[0] < 65536
    return f"{required(item, 'ipAddr', str)}:{ports[0]}" if is_valid else ""


def _decode_bounds(item: dict[str, Any]) -> Bounds:
    return Bounds(
        drain_seconds=read_seconds(item, "drainMs", 2000.0),
        lease_seconds=read_seconds(item, "leaseMs", 3000.0),
        grace_seconds=optional(item, "graceS", float, 8.0),
        config_seconds=read_seconds(item, "configApplyMs", 2000.0),
        repeat_ratio=optional(item, "retryBudgetRatio", float, 0.2),
        repeat_window_seconds=optional(item, "budgetWindowS", float, 10.0),
        repeat_slack=optional(item, "retryBudgetSlack", float, 0.0),
        allowance_window_seconds=optional(item, "quotaWindowS", float, 8.0),
        allowance_overrun=optional(item, "quotaOverrun", float, 0.1),
        allowance_slack=optional(item, "quotaSlack", float, 0.0),
    )
