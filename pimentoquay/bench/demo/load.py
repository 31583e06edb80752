"""The demo's workspaces and its mixed load: both users of the brief on three VMs."""

from dataclasses import dataclass
from pathlib import Path

from pimentoquay.bench.demo.plan import CLUSTER_KEY, DemoPlan, Sections, write_sections

__all__ = ["DEMO_WORKSPACES", "DemoWorkspace", "write_load", "write_operator_files"]


@dataclass(frozen=True)
class DemoWorkspace:
    """A workspace that the demo creates from a template."""

    name: str
    template: str

    @property
    def key(self) -> str:
        """The bearer key, known to nobody but the demo's own load."""
        return f"demo-key-of-{self.name}"


RATES_HALL = DemoWorkspace("rates-hall", "print-office")
PROOFREADERS = DemoWorkspace("textbook-proofreading", "proofreading")
DISTRICT = DemoWorkspace("hue-a-district", "school-portal")
DEMO_WORKSPACES = (RATES_HALL, PROOFREADERS, DISTRICT)


def write_load(plan: DemoPlan, directory: Path) -> None:
    """Write ``load.ini``, the plan of the demo's load."""
    sections: Sections = {
        "load": {
            "entries": " ".join(plan.entry_addresses),
            "engines": " ".join(plan.engine_addresses),
            "services": " ".join(plan.service_addresses),
        },
        "stream diagnosis": _stream(
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
        "stream desk": _stream(
            RATES_HALL, model="fleet-desk", kind="desk", rate=5, endpoint="chat", max_tokens=20
        ),
        "stream toner-order": _stream(
            RATES_HALL, endpoint="service", path="toner-orders/orders", once_only="yes", rate=3
        ),
        "stream job-status": _stream(
            RATES_HALL, endpoint="service", path="job-status/jobs", rate=4
        ),
        "stream proofreading": _stream(
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
        "stream page": _stream(
            DISTRICT,
            model="school-portal",
            kind="page",
            rate=4,
            prompt_tokens_high=400,
            max_tokens=30,
            first_token_target=0.8,
        ),
        "stream emboss": _stream(
            DISTRICT, endpoint="service", path="embosser/pages", once_only="yes", rate=1
        ),
    }
    write_sections(directory / "load.ini", sections)


def write_operator_files(plan: DemoPlan, directory: Path) -> None:
    """Write ``ctl.ini`` and ``workspaces.txt``: name, template and key of each workspace."""
    sections: Sections = {
        "control": {"address": plan.control_addresses[0]},
        "cluster": {"key": CLUSTER_KEY},
    }
    write_sections(directory / "ctl.ini", sections)
    lines = [f"{item.name} {item.template} {item.key}\n" for item in DEMO_WORKSPACES]
    (directory / "workspaces.txt").write_text("".join(lines), encoding="utf-8")


def _stream(workspace: DemoWorkspace, **values: object) -> dict[str, str]:
    texts = {name: str(value) for name, value in values.items()}
    return {"workspace": workspace.name, "key": workspace.key, **texts}
