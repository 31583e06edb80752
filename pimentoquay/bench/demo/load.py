"""Workspaces and mixed load of the demo, which runs the loads of two organisations on three VMs."""

from dataclasses import dataclass
from pathlib import Path

from pimentoquay.bench.demo.plan import CLUSTER_KEY, DemoPlan, Sections, write_sections

__all__ = ["DEMO_WORKSPACES", "DemoWorkspace", "write_load_plan", "write_operator_files"]


@dataclass(frozen=True)
class DemoWorkspace:
    """A workspace that the demo creates from a template."""

    name: str
    template: str

    @property
    def key(self) -> str:
        """Bearer key of the workspace, used only by the load of the demo."""
        return f"demo-key-of-{self.name}"


RATES_HALL = DemoWorkspace("rates-hall", "print-office")
PROOFREADERS = DemoWorkspace("textbook-proofreading", "proofreading")
SCHOOL_DISTRICT = DemoWorkspace("hue-a-district", "school-portal")
DEMO_WORKSPACES = (RATES_HALL, PROOFREADERS, SCHOOL_DISTRICT)


def write_load_plan(plan: DemoPlan, directory: Path) -> None:
    """Write the load plan ``load.ini``."""
    sections: Sections = {
        "load": {
            "entries": " ".join(plan.entry_addresses),
            "engines": " ".join(plan.engine_addresses),
            "services": " ".join(plan.service_addresses),
        },
        "stream diagnosis": _stream_section(
            RATES_HALL,
            model="diag-llm",
            kind="diagnosis",
            rate=4,
            prompt_tokens_low=500,
            prompt_tokens_high=2500,
            shared_tokens=300,
            max_tokens=60,
            cancel_share=0.1,
            first_token_target=5,
            token_interval_target=0.1,
        ),
        "stream desk": _stream_section(
            RATES_HALL, model="fleet-desk", kind="desk", rate=5, endpoint="chat", max_tokens=20
        ),
        "stream toner-order": _stream_section(
            RATES_HALL, endpoint="service", path="toner-orders/orders", once_only="yes", rate=3
        ),
        "stream job-status": _stream_section(
            RATES_HALL, endpoint="service", path="job-status/jobs", rate=4
        ),
        "stream proofreading": _stream_section(
            PROOFREADERS,
            model="proof-llm",
            kind="notes",
            rate=1,
            prompt_tokens_low=2000,
            prompt_tokens_high=5000,
            max_tokens=60,
            first_token_target=30,
            token_interval_target=0.1,
        ),
        "stream page": _stream_section(
            SCHOOL_DISTRICT,
            model="school-portal",
            kind="page",
            rate=4,
            prompt_tokens_high=400,
            max_tokens=30,
            first_token_target=0.8,
        ),
        "stream emboss": _stream_section(
            SCHOOL_DISTRICT, endpoint="service", path="embosser/pages", once_only="yes", rate=1
        ),
    }
    write_sections(directory / "load.ini", sections)


def write_operator_files(plan: DemoPlan, directory: Path) -> None:
    """Write the files that an operator needs: ``ctl.ini`` and ``workspaces.txt``.

    ``workspaces.txt`` has a line with name, template and key for each workspace.
    """
    sections: Sections = {
        "control": {"address": plan.control_addresses[0]},
        "cluster": {"key": CLUSTER_KEY},
    }
    write_sections(directory / "ctl.ini", sections)
    lines = [
        f"{workspace.name} {workspace.template} {workspace.key}\n" for workspace in DEMO_WORKSPACES
    ]
    (directory / "workspaces.txt").write_text("".join(lines), encoding="utf-8")


def _stream_section(workspace: DemoWorkspace, **values: object) -> dict[str, str]:
    options = {name: str(value) for name, value in values.items()}
    return {"workspace": workspace.name, "key": workspace.key, **options}
