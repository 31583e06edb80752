"""Mechanisms of allowances of workspaces, and the tests that have to fail without them."""

from typing import Any

from pimentoquay.bench.mutations.switch import Switch
from pimentoquay.messages.allowances import Lease

__all__ = ["ALLOWANCE_SWITCHES"]

_REPLAY = "pimentoquay/policy/tests/test_allowance_replay.py::"
_GATEWAY = "pimentoquay/gateway/tests/test_allowances.py::"


def lend_to_all(original: Any) -> Any:
    """Lend all votes to whoever asks for them."""

    def lend(voter: Any, granter: str, request: Any, vm_count: int, now: float) -> Lease:
        return Lease(request.sent_at, 0.8, vm_count, 0, (granter,))

    return lend


def take_loop_time(original: Any) -> Any:
    """Return the time of the event loop, which stands still while a VM is suspended."""
    return lambda elapsed: elapsed._now()


def keep_units(original: Any) -> Any:
    """Keep the units of requests that did not run."""
    return lambda job, ticket, error: None


ALLOWANCE_SWITCHES = (
    Switch(
        "votes for allowances are lent to one granter",
        "pimentoquay.policy.allowance_leases:LeaseVoter.lend",
        lend_to_all,
        _REPLAY + "test_use_stays_below_the_allowance_with_seven_times_the_load[7-suspend]",
    ),
    Switch(
        "units of requests that did not run are given back",
        "pimentoquay.gateway.dispatcher:_give_back_unused",
        keep_units,
        _GATEWAY + "test_units_are_given_back_unless_a_request_may_have_run",
    ),
    Switch(
        "votes end while a process is suspended",
        "pimentoquay.gateway.elapsed_time:ElapsedTime.now",
        take_loop_time,
        _GATEWAY + "test_time_passes_while_a_process_is_suspended",
    ),
)
