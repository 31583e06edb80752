"""The demo: settings files of stand-ins and VMs on loopback, and the processes that need them."""

from pimentoquay.bench.demo.plan import DemoPlan, write_plan

__all__ = ["DemoPlan", "write_plan"]
