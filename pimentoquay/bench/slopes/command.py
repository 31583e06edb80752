"""``pimentoquay-bench slopes``: measures all registered slopes and prints a table or JSON."""

import argparse
import dataclasses
import json

from pimentoquay.bench import decision_cost, fleet_copy_cost, membership_cost  # noqa: F401
from pimentoquay.bench.slopes import (  # noqa: F401
    burst,
    held,
    mesh,
    messages,
    ownership,
    relay,
    reports,
    scheduler,
    timeline,
)
from pimentoquay.bench.slopes.slope import Slope
from pimentoquay.kernel import find_plugin, plugin, plugin_names
from pimentoquay.kernel.logs import logger

__all__ = ["SlopesCommand", "measure_slopes"]

DEFAULT_REPEATS = 5


def measure_slopes(names: tuple[str, ...], repeats: int) -> tuple[Slope, ...]:
    """Measure the named groups of slopes one after another, with logging disabled."""
    logger.remove()
    slopes: list[Slope] = []
    for name in names:
        slopes.extend(find_plugin("slope", name)(repeats))
    return tuple(slopes)


@plugin("bench-command", "slopes")
class SlopesCommand:
    """Measure the cost of one more message, channel, token, engine or workspace."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        parser.add_argument("--json", action="store_true", help="print JSON instead of a table")
        parser.add_argument("--only", choices=plugin_names("slope"), help="measure one group")
        parser.add_argument(
            "--repeats", type=int, default=DEFAULT_REPEATS, help="samples of each slope"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Measure the slopes, print them and return 0."""
        names = (arguments.only,) if arguments.only else plugin_names("slope")
        slopes = measure_slopes(names, arguments.repeats)
        if arguments.json:
            print(json.dumps([dataclasses.asdict(slope) for slope in slopes], indent=2))
            return 0
        for slope in slopes:
            spread = f"{slope.low:.2f} to {slope.high:.2f}, {slope.samples} samples"
            value = f"{slope.median:10.2f} {slope.unit} a {slope.per}"
            print(f"{slope.name:45} {value:40} ({spread})")
        return 0
