"""Lays out the demo: which processes run, where they listen, and their settings files.

Three VMs stand in two data centres. Both users' models have engines in both of them, so that a
killed prefill engine leaves others in its pool.
"""

import configparser
from dataclasses import dataclass
from pathlib import Path

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.deployment import Deployment, EnginePlan, Pool

__all__ = ["DEMO_DEPLOYMENT", "DemoPlan", "ProcessPlan", "write_plan"]

HOST = "127.0.0.1"
CLUSTER_KEY = "demo-only-key"

DEMO_DEPLOYMENT = Deployment(
    region="loopback",
    data_centres=("city-hall", "hue-a"),
    one_way_delay=0.0,
    vm_count=3,
    pools=(
        Pool("diag-llm", 2, 2, 0),
        Pool("fleet-desk", 0, 0, 1),
        Pool("proof-llm", 2, 2, 0),
        Pool("school-portal", 0, 0, 1),
    ),
    services=("toner-orders", "job-status", "embosser"),
)

Sections = dict[str, dict[str, str]]


@dataclass(frozen=True)
class ProcessPlan:
    """One process: its name, its program and its settings."""

    name: str
    program: str
    sections: Sections


@dataclass(frozen=True)
class DemoPlan:
    """The processes of the demo and the addresses that its load needs."""

    processes: tuple[ProcessPlan, ...]
    entry_addresses: tuple[str, ...]
    control_addresses: tuple[str, ...]
    engine_addresses: tuple[str, ...]
    service_addresses: tuple[str, ...]


class _Ports:
    """Gives out port numbers, and remembers them by process name."""

    def __init__(self, first: int) -> None:
        self._next = first
        self.address_by_name: dict[str, str] = {}

    def address(self, name: str) -> str:
        if name not in self.address_by_name:
            self.address_by_name[name] = f"{HOST}:{self._next}"
            self._next += 1
        return self.address_by_name[name]


def make_plan(deployment: Deployment, first_port: int) -> DemoPlan:
    """Return the processes of a deployment on loopback, ports from ``first_port`` on."""
    ports = _Ports(first_port)
    engines = deployment.engines()
    services = deployment.service_plans()
    vms = deployment.vms()
    processes = [
        _standin("log", "log", ports, {}),
        _standin("weights", "weights", ports, {}),
        *(_engine(plan, ports) for plan in engines),
        *(_standin(plan.name, "plain", ports, {}) for plan in services),
        _standin("membership", "membership", ports, {"members": _members(deployment, ports)}),
    ]
    for vm in vms:
        base = _vm_sections(deployment, vm.name, vm.data_centre)
        control, entry = ports.address(f"control-{vm.name}"), ports.address(f"entry-{vm.name}")
        processes.append(_control(vm.name, base, control, ports))
        entry_sections = {**base, "control": {"address": control}, "http": {"listen": entry}}
        processes.append(ProcessPlan(f"entry-{vm.name}", "pimentoquay-entry", entry_sections))
    return DemoPlan(
        tuple(processes),
        tuple(ports.address(f"entry-{vm.name}") for vm in vms),
        tuple(ports.address(f"control-{vm.name}") for vm in vms),
        tuple(ports.address(plan.name) for plan in engines),
        tuple(ports.address(plan.name) for plan in services),
    )


def write_plan(plan: DemoPlan, directory: Path) -> None:
    """Write a settings file for each process and ``processes.txt``, one process a line."""
    directory.mkdir(parents=True, exist_ok=True)
    lines = []
    for process in plan.processes:
        path = directory / f"{process.name}.ini"
        write_sections(path, process.sections)
        lines.append(f"{process.name} {process.program} {path}\n")
    (directory / "processes.txt").write_text("".join(lines), encoding="utf-8")


def write_sections(path: Path, sections: Sections) -> None:
    """Write an INI file."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


def _standin(name: str, kind: str, ports: _Ports, section: dict[str, str]) -> ProcessPlan:
    sections = {
        "standin": {"kind": kind, "listen": ports.address(name), "name": name},
        "logs": {"level": "WARNING"},
    }
    if section:
        sections[kind] = section
    return ProcessPlan(name, "pimentoquay-standin", sections)


def _engine(plan: EnginePlan, ports: _Ports) -> ProcessPlan:
    section = {
        "model": plan.model,
        "role": EngineRole(plan.role).name.lower(),
        "weight_store": ports.address("weights"),
    }
    return _standin(plan.name, "engine", ports, section)


def _members(deployment: Deployment, ports: _Ports) -> str:
    region = deployment.region
    lines = [
        f"{plan.name} engine {region} {plan.data_centre} {ports.address(plan.name)} "
        f"{plan.model} yes"
        for plan in deployment.engines()
    ]
    lines += [
        f"{plan.name} service {region} {plan.data_centre} {ports.address(plan.name)} "
        f"{plan.name} yes"
        for plan in deployment.service_plans()
    ]
    lines += [
        f"{vm.name} entry-vm {region} {vm.data_centre} {ports.address('control-' + vm.name)} - yes"
        for vm in deployment.vms()
    ]
    return "\n" + "\n".join(lines)


def _vm_sections(deployment: Deployment, name: str, data_centre: str) -> Sections:
    return {
        "vm": {"name": name, "region": deployment.region, "data_centre": data_centre},
        "cluster": {"key": CLUSTER_KEY},
    }


def _control(name: str, base: Sections, address: str, ports: _Ports) -> ProcessPlan:
    sections = {
        **base,
        "control": {"listen": address},
        "platform": {
            "log": ports.address("log"),
            "membership": ports.address("membership"),
            "weight_store": ports.address("weights"),
        },
    }
    return ProcessPlan(f"control-{name}", "pimentoquay-control", sections)
