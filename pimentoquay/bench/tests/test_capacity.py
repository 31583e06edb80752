from pathlib import Path

import pytest

from pimentoquay.bench.capacity import DESIGN_SIZE, compute_figures
from pimentoquay.bench.capacity.figures import Slopes
from pimentoquay.bench.capacity.page import find_deviations, read_slopes, render
from pimentoquay.bench.slopes.slope import Slope

DOCS = Path(__file__).parents[3] / "docs"


def slope(median: float) -> Slope:
    return Slope("s", "µs", "call", median, median, median, 1)


def test_capacity_page_matches_the_stored_slopes():
    slopes = read_slopes(DOCS / "capacity-slopes.json")
    generated = render(compute_figures(DESIGN_SIZE, Slopes(slopes)), slopes)
    assert generated in (DOCS / "CAPACITY.md").read_text(encoding="utf-8")


def test_missing_slope_is_named_in_the_error():
    with pytest.raises(LookupError, match="relay, both sides"):
        compute_figures(DESIGN_SIZE, Slopes(()))


@pytest.mark.parametrize(("now", "count"), [(10.0, 0), (19.0, 0), (21.0, 1), (4.0, 1)])
def test_a_slope_out_of_tolerance_is_reported(now, count):
    assert len(find_deviations([slope(10.0)], [slope(now)], 2.0)) == count


def test_slope_no_longer_measured_is_reported():
    assert find_deviations([slope(10.0)], [], 2.0) == ("s: no longer measured",)
