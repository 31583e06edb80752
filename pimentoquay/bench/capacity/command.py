"""``pimentoquay-bench capacity``: reckon, write and check docs/CAPACITY.md."""

import argparse
from pathlib import Path

from pimentoquay.bench.capacity.page import (
    deviations,
    read_slopes,
    render,
    replace_generated,
    write_slopes,
)
from pimentoquay.bench.capacity.reckon import Slopes, reckon
from pimentoquay.bench.capacity.size import DESIGN_SIZE
from pimentoquay.bench.slopes.command import measure_slopes
from pimentoquay.kernel import plugin, plugin_names

__all__ = ["CapacityCommand"]

DEFAULT_TOLERANCE = 2.0
DEFAULT_REPEATS = 3
EXIT_DEVIATES = 1


@plugin("bench-command", "capacity")
class CapacityCommand:
    """Reckon the capacity page from slopes, or check it against a fresh measurement."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        what = parser.add_mutually_exclusive_group(required=True)
        what.add_argument("--measure", action="store_true", help="measure anew and write the page")
        what.add_argument("--write", action="store_true", help="write the page from kept slopes")
        what.add_argument("--check", action="store_true", help="compare with a fresh measurement")
        parser.add_argument("--docs", type=Path, default=Path("docs"), help="the docs directory")
        parser.add_argument(
            "--tolerance", type=float, default=DEFAULT_TOLERANCE, help="allowed factor"
        )
        parser.add_argument("--repeats", type=int, default=DEFAULT_REPEATS, help="samples a slope")

    def run(self, arguments: argparse.Namespace) -> int:
        """Write or check; the exit status is 1 if a figure is out of tolerance."""
        kept_file = arguments.docs / "capacity-slopes.json"
        if arguments.check:
            fresh = measure_slopes(plugin_names("slope"), arguments.repeats)
            lines = deviations(read_slopes(kept_file), fresh, arguments.tolerance)
            for line in lines:
                print(line)
            print(f"{len(lines)} slopes out of a factor of {arguments.tolerance}")
            return EXIT_DEVIATES if lines else 0
        if arguments.measure:
            write_slopes(kept_file, measure_slopes(plugin_names("slope"), arguments.repeats))
        write_page(arguments.docs / "CAPACITY.md", kept_file)
        return 0


def write_page(page: Path, kept_file: Path) -> None:
    """Put the figures reckoned from the kept slopes into the page."""
    slopes = read_slopes(kept_file)
    generated = render(reckon(DESIGN_SIZE, Slopes(slopes)), slopes)
    text = replace_generated(page.read_text(encoding="utf-8"), generated)
    page.write_text(text, encoding="utf-8")
