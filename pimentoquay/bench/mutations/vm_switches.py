"""Mechanisms that tell which VMs are gone, and the tests that have to fail without them."""

from collections.abc import Mapping
from typing import Any

from pimentoquay.bench.mutations.replacements import do_nothing_async, return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["VM_SWITCHES"]

_REPLAY = "pimentoquay/policy/tests/test_replaced_vms.py::"
_GATEWAY = "pimentoquay/gateway/tests/test_replaced_vms.py::"


def take_silent_for_gone(original: Any) -> Any:
    """Take all VMs for gone that have been silent, however few are heard."""

    def gone(
        liveness: Any,
        data_centre_by_vm: Mapping[str, str],
        now: float,
        has_relays: bool,
        is_reader: bool,
    ) -> frozenset[str]:
        return frozenset(liveness.missing(now, has_relays) & data_centre_by_vm.keys())

    return gone


VM_SWITCHES = (
    Switch(
        "VMs that are gone stop counting",
        "pimentoquay.policy.vm_liveness:VmLiveness.gone",
        return_constant(frozenset()),
        _REPLAY + "test_an_allowance_outlasts_a_hundred_replaced_machines[3-0.7]",
    ),
    Switch(
        "VMs that are cut off are not taken for gone",
        "pimentoquay.policy.vm_liveness:VmLiveness.gone",
        take_silent_for_gone,
        _REPLAY + "test_a_side_of_a_cut_does_not_take_itself_for_all_that_is_alive"
        "[half, away from the store-8]",
    ),
    Switch(
        "granters without news of the store need half of the votes",
        "pimentoquay.policy.vm_liveness:least_votes",
        return_constant(0.0),
        _REPLAY + "test_a_side_of_a_cut_does_not_take_itself_for_all_that_is_alive"
        "[three of seven, away from the store-8]",
    ),
    Switch(
        "removed records of running VMs of older builds are written again",
        "pimentoquay.gateway.vm_registry:VmRegistry._write_again",
        do_nothing_async,
        _GATEWAY + "test_a_record_of_a_running_vm_that_was_removed_is_written_again",
    ),
    Switch(
        "a VM writes its addresses again after a foreign record",
        "pimentoquay.gateway.vm_registry:VmRegistry._is_displaced",
        return_constant(False),
        "pimentoquay/gateway/tests/test_foreign_values.py::"
        "test_a_vm_writes_its_address_again_after_a_foreign_record",
    ),
)
