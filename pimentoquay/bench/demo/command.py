"""The command ``pimentoquay-bench demo-plan``: write the settings files of the demo."""

import argparse
from pathlib import Path

from pimentoquay.bench.demo.load import write_load_plan, write_operator_files
from pimentoquay.bench.demo.plan import DEMO_DEPLOYMENT, make_plan, write_plan
from pimentoquay.kernel import plugin

__all__ = ["DemoPlanCommand"]

DEFAULT_FIRST_PORT = 17100


@plugin("bench-command", "demo-plan")
class DemoPlanCommand:
    """Write the settings files of the demo's processes."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command to its parser."""
        parser.add_argument(
            "--directory", type=Path, required=True, help="where to write the files"
        )
        parser.add_argument(
            "--first-port", type=int, default=DEFAULT_FIRST_PORT, help="first loopback port"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Write all files of the demo and return 0."""
        plan = make_plan(DEMO_DEPLOYMENT, arguments.first_port)
        write_plan(plan, arguments.directory)
        write_load_plan(plan, arguments.directory)
        write_operator_files(plan, arguments.directory)
        return 0
