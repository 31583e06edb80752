"""Creates the granter and the client of allowances of a gateway; a part of its composition root."""

from collections.abc import Callable
from typing import Any

from pimentoquay.gateway.allowance_client import Allowances
from pimentoquay.gateway.allowance_granter import AllowanceGranting
from pimentoquay.gateway.elapsed_time import ElapsedTime
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.mesh import Mesh
from pimentoquay.kernel import Node
from pimentoquay.platform.settings import Bounds
from pimentoquay.policy.allowances import GranterBounds
from pimentoquay.transport.peers import PeerSet

__all__ = ["compose_allowances"]


def compose_allowances(
    node: Node,
    bounds: Bounds,
    fleet: Fleet,
    mesh: Mesh,
    peers: PeerSet,
    send_to: Callable[[str, Any], None],
) -> tuple[AllowanceGranting, Allowances]:
    """Return the granter and the client of allowances."""

    def data_centre_by_vm() -> dict[str, str]:
        by_vm = mesh.addresses.by_vm
        if len(by_vm) == 1 and not mesh.step.knows_peers:
            return {}
        return {vm: each.data_centre for vm, each in by_vm.items()}

    def version() -> int:
        return fleet.configuration.version if fleet.configuration is not None else 0

    def is_heard(vm: str) -> bool:
        return peers.channel_to(vm, "gateway") is not None or vm in mesh.relays.live_relays()

    elapsed = ElapsedTime(node.timers.now)
    granting = AllowanceGranting(
        node,
        elapsed,
        GranterBounds(bounds.allowance_window_seconds, bounds.allowance_overrun),
        data_centre_by_vm,
        is_heard,
        lambda: fleet.list_age,
        lambda: mesh.relays.own_state.is_draining,
        send_to,
    )
    allowances = Allowances(
        node, elapsed, granting.members, is_heard, version, granting.record_need, send_to
    )
    return granting, allowances
