"""Room of this process for others: bytes, connections and tunnels, by its settings."""

from collections.abc import Awaitable, Callable

from pimentoquay.gateway.load_metrics import (
    BYTES_HELD,
    BYTES_LIMIT,
    CALLERS_CONNECTED,
    CALLERS_WAITING,
    RESIDENT_BYTES,
)
from pimentoquay.gateway.memory_watch import MemoryWatch
from pimentoquay.http1 import HttpRequest, HttpServer, Reply, ServerLimits
from pimentoquay.kernel.metrics import Metric
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform.settings import DeploymentSettings
from pimentoquay.policy.byte_budget import ByteBudget
from pimentoquay.policy.process_limits import process_limits
from pimentoquay.tunnels.limits import TunnelLimits

__all__ = ["ProcessRoom", "own_port_server"]

OWN_PORT_BYTES = 2 * 1024 * 1024
OWN_PORT_BODY_BYTES = 16 * 1024
OWN_PORT_CONNECTIONS = 16
"""Limits of the ports for readiness and metrics, which the platform and a collector use."""


class ProcessRoom:
    """Limits of the process, and the budgets and the watch that keep them.

    ``callers`` is the budget of callers' connections, ``tunnels`` the limits of tunnels, and
    ``watch`` adapts the budget to the memory of the process.
    """

    def __init__(self, settings: DeploymentSettings) -> None:
        limits = process_limits(settings.memory_bytes, settings.max_descriptors)
        self.callers = ByteBudget(
            limits.budget_bytes, limits.callers, limits.system_bytes, limits.answer_bytes
        )
        self.tunnels = TunnelLimits(
            limits.tunnels, limits.unopened_tunnels, 2 * limits.unopened_tunnels
        )
        self.watch = MemoryWatch(limits, self.callers)

    def value_by_gauge(self) -> dict[Metric, Callable[[], float]]:
        """Return the functions that give the values of the gauges."""
        return {
            BYTES_HELD: lambda: self.callers.used,
            BYTES_LIMIT: lambda: self.callers.limit,
            CALLERS_CONNECTED: lambda: self.callers.connections,
            CALLERS_WAITING: lambda: self.callers.waiting,
            RESIDENT_BYTES: lambda: self.watch.resident_bytes,
        }


def own_port_server(
    handler: Callable[[HttpRequest, Reply], Awaitable[None]], turns: TurnQueue
) -> HttpServer:
    """Create the server of a port of the gateway itself, whose requests have no body."""
    limits = ServerLimits(body_bytes=OWN_PORT_BODY_BYTES)
    room = ByteBudget(OWN_PORT_BYTES, OWN_PORT_CONNECTIONS, 64 * 1024)
    return HttpServer(handler, lambda: limits, turns, room=room)
