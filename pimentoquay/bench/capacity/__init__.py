"""Capacity page: load of each role at the design size, computed from measured slopes."""

from pimentoquay.bench.capacity.reckon import Row, reckon
from pimentoquay.bench.capacity.size import DESIGN_SIZE, Size

__all__ = ["DESIGN_SIZE", "Row", "Size", "reckon"]
