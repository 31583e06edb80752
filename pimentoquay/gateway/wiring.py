"""Functions by which the composition root connects the parts of the gateway."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from pimentoquay.gateway.dispatcher import Dispatcher
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.mesh import Mesh
from pimentoquay.gateway.pool_client import PoolClient
from pimentoquay.gateway.pool_coordinator import PoolCoordinator
from pimentoquay.gateway.reservation import usable_tokens
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.http1 import HeaderList, HttpRequest, Reply, ServerLimits
from pimentoquay.platform.requests import parse_timeout
from pimentoquay.platform.settings import Bounds
from pimentoquay.policy.idle_limits import IdleLimits

__all__ = [
    "apply_mesh_state",
    "apply_plan",
    "idle_limits",
    "patience",
    "readiness_handler",
    "routed_handler",
    "server_limits",
    "tokens_of_engine",
]


def tokens_of_engine(fleet: Fleet, service: str) -> int:
    """Return the usable memory of each engine of a service, in tokens; 0 if it has none."""
    configuration = fleet.configuration
    known = configuration.service_by_name.get(service) if configuration is not None else None
    return usable_tokens(known.memory) if known is not None and known.memory is not None else 0


def routed_handler(*receivers: Any) -> Callable[[str, Any], None]:
    """Return a handler that passes a routed message and its sender to each receiver."""

    def receive(source: str, message: Any) -> None:
        for receiver in receivers:
            receiver.receive(message, source)

    return receive


def apply_plan(
    shared: SharedState, mesh: Mesh, client: PoolClient, coordinator: PoolCoordinator
) -> None:
    """Use coordinators in a deployment with relays, and share its limits by its size."""
    client.is_active = not mesh.plan.is_full
    coordinator.is_active = client.is_active and shared.placer.vm in mesh.plan.relays
    apply_mesh_state(shared, mesh)


def apply_mesh_state(shared: SharedState, mesh: Mesh) -> None:
    """Update the state that depends on the number of gateways and on the mesh plan."""
    shared.retry_budgets.gateway_count = mesh.gateway_count
    shared.links.limits.update_vms(mesh.running_vms(), not mesh.plan.is_full)
    shared.placer = replace(shared.placer, lacks_peer_loads=not mesh.plan.is_full)


def server_limits(fleet: Fleet) -> ServerLimits:
    """Return the limits of callers' requests by the configuration in force."""
    configuration = fleet.configuration
    return configuration.limits if configuration is not None else ServerLimits()


def idle_limits(fleet: Fleet, bounds: Bounds, now: Callable[[], float]) -> IdleLimits:
    """Return the limits of idle connections by the configurations that come in force."""
    limits = IdleLimits(bounds.config_seconds, server_limits(fleet).idle_seconds)
    fleet.on_configuration.append(
        lambda configuration: limits.record(configuration.limits.idle_seconds, now())
    )
    return limits


def patience(headers: HeaderList) -> float:
    """Return the seconds that a caller waits for its answer; infinite if it does not say."""
    seconds = parse_timeout(headers)
    return seconds if seconds is not None else math.inf


def readiness_handler(dispatcher: Dispatcher) -> Callable[[HttpRequest, Reply], Awaitable[None]]:
    """Return a handler that says whether the gateway takes new requests."""

    async def handle(request: HttpRequest, reply: Reply) -> None:
        reply.send(200 if dispatcher.is_ready else 503, (), b"")

    return handle
