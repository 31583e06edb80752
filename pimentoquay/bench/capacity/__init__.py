"""Capacity page: load of each role at the design size, computed from measured slopes."""

from pimentoquay.bench.capacity.figures import Row, compute_figures
from pimentoquay.bench.capacity.size import DESIGN_SIZE, Size

__all__ = ["DESIGN_SIZE", "Row", "Size", "compute_figures"]
