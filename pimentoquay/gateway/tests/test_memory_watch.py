"""The budget that a process derives from its own memory."""

from pimentoquay.gateway.memory_watch import MemoryWatch
from pimentoquay.http1.room import ClaimOutcome
from pimentoquay.policy.byte_budget import ByteBudget
from pimentoquay.policy.process_limits import MB, process_limits


def test_claims_that_have_not_arrived_do_not_raise_the_budget():
    """One look during such claims took them off the process's own memory, for 30 looks."""
    limits = process_limits(2048 * MB, 1638)
    budget = ByteBudget(limits.budget_bytes, limits.callers)
    watch = MemoryWatch(limits, budget)
    watch.look()
    limit = budget.limit
    account, _ = budget.open("caller", 0.0)
    budget.begin(account, 0.0)
    assert budget.claim(account, 24 * MB, 0.0) is ClaimOutcome.GRANTED
    watch.look()
    assert abs(budget.limit - limit) < 2 * MB
    budget.progress(account, 16 * MB, 0.0)
    assert budget.arrived == 16 * MB
    budget.settle(account, 24 * MB)
    assert budget.arrived == budget.used == 24 * MB
