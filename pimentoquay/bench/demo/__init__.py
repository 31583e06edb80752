"""Demo on the loopback interface: its processes, their settings files and its load."""

from pimentoquay.bench.demo.plan import DemoPlan, write_plan

__all__ = ["DemoPlan", "write_plan"]
