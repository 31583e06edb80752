"""Settings of ``pimentoquay-ctl``: which control process to connect to, and the shared key."""

import argparse
import os
import sys
from dataclasses import dataclass
from pathlib import Path

from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.kernel.sections import ClusterSection
from pimentoquay.kernel.settings import SettingsError, load_settings, setting

__all__ = ["KEY_VARIABLE", "CtlSettings", "Target", "add_target_arguments", "target_from_arguments"]

KEY_VARIABLE = "PIMENTOQUAY_CLUSTER_KEY"
"""Environment variable with the shared key, an alternative to a settings file or key file."""


@dataclass(frozen=True)
class CtlControlSection:
    """The ``[control]`` section: address of a control process."""

    address: str = setting(help="IP:PORT of any VM's control process")


@dataclass(frozen=True)
class CtlSettings:
    """Sections of the settings file of ``pimentoquay-ctl``."""

    control: CtlControlSection
    cluster: ClusterSection


@dataclass(frozen=True)
class Target:
    """Address of a control process and the shared key for it."""

    address: str
    key: bytes


def add_target_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options that select the control process and the shared key."""
    group = parser.add_argument_group("which VM to ask; any one will do")
    group.add_argument("--config", type=Path, help="settings file with [control] and [cluster]")
    group.add_argument("--control", metavar="IP:PORT", help="control address of a VM")
    group.add_argument(
        "--key-file", type=Path, help=f"file with the shared key (or set {KEY_VARIABLE})"
    )


def target_from_arguments(arguments: argparse.Namespace) -> Target:
    """Return the target of the connection; raise ``CtlError`` if address or key is missing."""
    address, key = arguments.control, _read_key(arguments)
    if arguments.config is not None:
        try:
            settings = load_settings(arguments.config, CtlSettings)
        except SettingsError as error:
            for fault in error.faults:
                print(fault, file=sys.stderr)
            raise CtlError(ExitStatus.INVALID, f"{arguments.config} is not valid") from None
        address = address or settings.control.address
        key = key or settings.cluster.key
    if not address:
        raise CtlError(ExitStatus.INVALID, "no VM given: use --config FILE or --control IP:PORT")
    if not key:
        raise CtlError(ExitStatus.INVALID, f"no shared key: use --key-file or set {KEY_VARIABLE}")
    return Target(address, key.encode())


def _read_key(arguments: argparse.Namespace) -> str:
    if arguments.key_file is None:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return str(arguments.key_file.read_text(encoding="utf-8").strip())
    except (OSError, UnicodeDecodeError) as error:
        detail = f"cannot read {arguments.key_file}: {error}"
        raise CtlError(ExitStatus.INVALID, detail) from None
