"""Commands of the steady-state run: ``steady-plan``, ``fake-engines`` and ``steady-report``."""

import argparse
import json
import statistics
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.steady.plan import write_steady_plan
from pimentoquay.kernel import plugin
from pimentoquay.kernel.programs import StopRequested, run_until_stopped
from pimentoquay.kernel.serving import serve_http
from pimentoquay.standin.directory import EngineDirectory
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.serve_engine import engine_app

__all__ = ["FakeEnginesCommand", "SteadyPlanCommand", "SteadyReportCommand", "VmUsage"]

DEFAULT_FIRST_PORT = 20000

MIN_USAGE_LINES = 4
"""Minimum number of usage lines in a log; with fewer, the second half is too short for rates."""


@dataclass(frozen=True)
class VmUsage:
    """Usage of a control process over the second half of its usage lines.

    The first half is left out, because start-up is not steady state. ``cpu_percent`` is of one
    core, ``peak_memory`` is the last value logged, in MiB, and all others are rates per second.
    """

    vm: str
    cpu_percent: float
    peak_memory: float
    peer_bytes_sent: float
    peer_messages_sent: float
    http_bytes_sent: float
    http_bytes_received: float


@plugin("bench-command", "steady-plan")
class SteadyPlanCommand:
    """Write the settings of a steady-state run of many control processes."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        parser.add_argument("--vms", type=int, required=True)
        parser.add_argument("--engines", type=int, required=True)
        parser.add_argument("--directory", type=Path, required=True)
        parser.add_argument("--first-port", type=int, default=DEFAULT_FIRST_PORT)

    def run(self, arguments: argparse.Namespace) -> int:
        """Write the files and return 0."""
        write_steady_plan(
            arguments.vms, arguments.engines, arguments.first_port, arguments.directory
        )
        return 0


@plugin("bench-command", "fake-engines")
class FakeEnginesCommand:
    """Serve many idle stand-in engines in one process, each on its own port."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        parser.add_argument(
            "--list", type=Path, required=True, help="NAME MODEL ROLE IP:PORT lines"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Serve until a termination signal and return the exit status."""
        lines = arguments.list.read_text(encoding="utf-8").splitlines()

        async def serve(stop: StopRequested) -> None:
            directory = EngineDirectory()
            async with AsyncExitStack() as stack:
                for line in lines:
                    name, model, role, address = line.split()
                    engine = StandinEngine(name, model, directory, EngineRole[role])
                    await stack.enter_async_context(serve_http(engine_app(engine), address))
                await stop.wait()

        return run_until_stopped(serve)


@plugin("bench-command", "steady-report")
class SteadyReportCommand:
    """Read the logs of control processes and print their usage per second."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        parser.add_argument("logs", type=Path, nargs="+", help="logs of control processes")
        parser.add_argument("--json", action="store_true", help="print JSON instead of a table")

    def run(self, arguments: argparse.Namespace) -> int:
        """Print the report and return 0; return 1 if a process logged too few usage lines."""
        usages = [_usage_of(path) for path in arguments.logs]
        complete = [usage for usage in usages if usage is not None]
        if len(complete) < len(usages):
            print(f"{len(usages) - len(complete)} of {len(usages)} processes logged no usage")
            return 1
        _print_usages(complete, arguments.json)
        return 0


def _usage_of(path: Path) -> VmUsage | None:
    text = path.read_text(encoding="utf-8")
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    usages = [line for line in lines if line.get("message") == "usage"]
    if len(usages) < MIN_USAGE_LINES:
        return None
    first, last = usages[len(usages) // 2], usages[-1]
    seconds = _seconds_between(first["time"], last["time"])

    def rate(key: str) -> float:
        return (float(last[key]) - float(first[key])) / seconds

    return VmUsage(
        last["vm"],
        rate("cpu_seconds") * 100,
        float(last["peak_memory"]),
        rate("peer_bytes_sent"),
        rate("peer_messages_sent"),
        rate("http_bytes_sent"),
        rate("http_bytes_received"),
    )


def _seconds_between(first: str, last: str) -> float:
    return (datetime.fromisoformat(last) - datetime.fromisoformat(first)).total_seconds()


def _print_usages(usages: Sequence[VmUsage], as_json: bool) -> None:
    fields = [name for name in VmUsage.__dataclass_fields__ if name != "vm"]
    rows = {
        name: {
            "median": statistics.median(getattr(usage, name) for usage in usages),
            "highest": max(getattr(usage, name) for usage in usages),
        }
        for name in fields
    }
    if as_json:
        print(json.dumps({"processes": len(usages), **rows}))
        return
    print(f"{len(usages)} control processes")
    for name, row in rows.items():
        print(f"{name:22} median {row['median']:10.2f}  highest {row['highest']:10.2f}")
