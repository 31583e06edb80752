"""Plan of the demo: its processes, their addresses and their settings files.

The demo has three VMs in two data centres. Every model has engines in both data centres, so that
its pool has other prefill engines left when one is killed.
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
"""Values of an INI file by section and name."""


@dataclass(frozen=True)
class ProcessPlan:
    """A process: its name, its program and the sections of its settings file."""

    name: str
    program: str
    sections: Sections


@dataclass(frozen=True)
class DemoPlan:
    """Processes of the demo and the addresses that its load and its operator need."""

    processes: tuple[ProcessPlan, ...]
    entry_addresses: tuple[str, ...]
    control_addresses: tuple[str, ...]
    engine_addresses: tuple[str, ...]
    service_addresses: tuple[str, ...]


class _PortAllocator:
    """Assigns a loopback address to each process name, with consecutive ports."""

    def __init__(self, first: int) -> None:
        self._next_port = first
        self.address_by_name: dict[str, str] = {}

    def address(self, name: str) -> str:
        """Return the address of a process, assigning the next port to an unknown one."""
        if name not in self.address_by_name:
            self.address_by_name[name] = f"{HOST}:{self._next_port}"
            self._next_port += 1
        return self.address_by_name[name]


def make_plan(deployment: Deployment, first_port: int) -> DemoPlan:
    """Return the processes of a deployment on loopback, with ports from ``first_port`` upwards."""
    ports = _PortAllocator(first_port)
    engines = deployment.engines()
    services = deployment.service_plans()
    vms = deployment.vms()
    processes = [
        _standin_process("log", "log", ports, {}),
        _standin_process("weights", "weights", ports, {}),
        *(_engine_process(plan, ports) for plan in engines),
        *(_standin_process(plan.name, "plain", ports, {}) for plan in services),
        _standin_process(
            "membership",
            "membership",
            ports,
            {"members": _membership_lines(deployment, ports)},
        ),
    ]
    for vm in vms:
        vm_sections = _common_vm_sections(deployment, vm.name, vm.data_centre)
        control, entry = ports.address(f"control-{vm.name}"), ports.address(f"entry-{vm.name}")
        processes.append(_control_process(vm.name, vm_sections, control, ports))
        entry_sections = {
            **vm_sections,
            "control": {"address": control},
            "http": {"listen": entry},
        }
        processes.append(ProcessPlan(f"entry-{vm.name}", "pimentoquay-entry", entry_sections))
    return DemoPlan(
        tuple(processes),
        tuple(ports.address(f"entry-{vm.name}") for vm in vms),
        tuple(ports.address(f"control-{vm.name}") for vm in vms),
        tuple(ports.address(plan.name) for plan in engines),
        tuple(ports.address(plan.name) for plan in services),
    )


def write_plan(plan: DemoPlan, directory: Path) -> None:
    """Write a settings file for each process, and the list ``processes.txt``.

    Each line of the list has the name, program and settings file of a process.
    """
    directory.mkdir(parents=True, exist_ok=True)
    lines = []
    for process in plan.processes:
        path = directory / f"{process.name}.ini"
        write_sections(path, process.sections)
        lines.append(f"{process.name} {process.program} {path}\n")
    (directory / "processes.txt").write_text("".join(lines), encoding="utf-8")


def write_sections(path: Path, sections: Sections) -> None:
    """Write sections as an INI file."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


def _standin_process(
    name: str, kind: str, ports: _PortAllocator, section: dict[str, str]
) -> ProcessPlan:
    sections = {
        "standin": {"kind": kind, "listen": ports.address(name), "name": name},
        "logs": {"level": "WARNING"},
    }
    if section:
        sections[kind] = section
    return ProcessPlan(name, "pimentoquay-standin", sections)


def _engine_process(plan: EnginePlan, ports: _PortAllocator) -> ProcessPlan:
    section = {
        "model": plan.model,
        "role": EngineRole(plan.role).name.lower(),
        "weight_store": ports.address("weights"),
    }
    return _standin_process(plan.name, "engine", ports, section)


def _membership_lines(deployment: Deployment, ports: _PortAllocator) -> str:
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


def _common_vm_sections(deployment: Deployment, name: str, data_centre: str) -> Sections:
    return {
        "vm": {"name": name, "region": deployment.region, "data_centre": data_centre},
        "cluster": {"key": CLUSTER_KEY},
    }


def _control_process(
    name: str, vm_sections: Sections, address: str, ports: _PortAllocator
) -> ProcessPlan:
    sections = {
        **vm_sections,
        "control": {"listen": address},
        "platform": {
            "log": ports.address("log"),
            "membership": ports.address("membership"),
            "weight_store": ports.address("weights"),
        },
    }
    return ProcessPlan(f"control-{name}", "pimentoquay-control", sections)
