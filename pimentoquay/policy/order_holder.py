"""Which VM sends orders to engines.

Failure pattern: the VM that sends orders is about to stop, or its links to engines are cut. Orders
must come from the VM that holds the role, never through another, so the role moves to one that
reaches the engines.
"""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["VmState", "order_holder"]


@dataclass(frozen=True)
class VmState:
    """Whether a VM is about to stop, and whether it reaches some engines only through others."""

    is_draining: bool = False
    is_cut_off: bool = False


def order_holder(state_by_vm: Mapping[str, VmState]) -> str | None:
    """Return the first VM by name that reaches the engines and does not stop.

    If none does, one that does not stop is taken, since cuts end.

    Example
    -------
    >>> order_holder({"a": VmState(is_cut_off=True), "b": VmState()})
    'b'
    >>> order_holder({"a": VmState(is_cut_off=True)})
    'a'
    """
    staying = [vm for vm, state in state_by_vm.items() if not state.is_draining]
    reaching = [vm for vm in staying if not state_by_vm[vm].is_cut_off]
    return min(reaching or staying, default=None)
