"""``pimentoquay-bench capacity``: computes, writes and checks the figures in docs/CAPACITY.md."""

import argparse
from pathlib import Path

from pimentoquay.bench.capacity.figures import Slopes, compute_figures
from pimentoquay.bench.capacity.page import (
    find_deviations,
    read_slopes,
    render,
    replace_generated,
    write_slopes,
)
from pimentoquay.bench.capacity.size import DESIGN_SIZE
from pimentoquay.bench.slopes.command import measure_slopes
from pimentoquay.kernel import plugin, plugin_names

__all__ = ["CapacityCommand"]

DEFAULT_TOLERANCE = 2.0
"""Factor by which a fresh median may differ from the stored one, up or down."""

DEFAULT_REPEATS = 3
DEVIATION_EXIT_STATUS = 1


@plugin("bench-command", "capacity")
class CapacityCommand:
    """Write the capacity page from slopes, or check it against a new measurement."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        mode = parser.add_mutually_exclusive_group(required=True)
        mode.add_argument(
            "--measure", action="store_true", help="measure the slopes and write the page"
        )
        mode.add_argument("--write", action="store_true", help="write the page from stored slopes")
        mode.add_argument(
            "--check", action="store_true", help="compare stored slopes with a new measurement"
        )
        parser.add_argument("--docs", type=Path, default=Path("docs"), help="the docs directory")
        parser.add_argument(
            "--tolerance", type=float, default=DEFAULT_TOLERANCE, help="allowed factor"
        )
        parser.add_argument(
            "--repeats", type=int, default=DEFAULT_REPEATS, help="samples of each slope"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Write or check the page; return 1 if a slope is out of tolerance, else 0."""
        slopes_file = arguments.docs / "capacity-slopes.json"
        if arguments.check:
            fresh = measure_slopes(plugin_names("slope"), arguments.repeats)
            lines = find_deviations(read_slopes(slopes_file), fresh, arguments.tolerance)
            for line in lines:
                print(line)
            print(f"{len(lines)} slopes out of a factor of {arguments.tolerance}")
            return DEVIATION_EXIT_STATUS if lines else 0
        if arguments.measure:
            write_slopes(slopes_file, measure_slopes(plugin_names("slope"), arguments.repeats))
        write_page(arguments.docs / "CAPACITY.md", slopes_file)
        return 0


def write_page(page: Path, slopes_file: Path) -> None:
    """Replace the generated part of the page by figures computed from the stored slopes."""
    slopes = read_slopes(slopes_file)
    generated = render(compute_figures(DESIGN_SIZE, Slopes(slopes)), slopes)
    text = replace_generated(page.read_text(encoding="utf-8"), generated)
    page.write_text(text, encoding="utf-8")
