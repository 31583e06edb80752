"""Asks of one gateway for units of allowances, with the replies of granters given."""

import pytest

from pimentoquay.messages.allowances import AllowanceOutcome, AllowanceReply
from pimentoquay.policy import allowance_holder
from pimentoquay.policy.allowance_holder import AllowanceHolder
from pimentoquay.policy.allowance_leases import workspace_rank
from pimentoquay.policy.workspaces import Allowance

ALLOWANCE = Allowance(1.0, 5.0)


def holder_of(*vms):
    holder = AllowanceHolder(0)
    holder.update_granters(frozenset(vms))
    return holder


def undecided(holder, patience, began_at=0.0):
    """Return the decision on an ask that gets no reply, and when it is made."""
    holder.ask("w", 1, ALLOWANCE, 1.0, patience, began_at)
    for step in range(1, 100):
        now = began_at + step * 0.05
        decisions, _ = holder.tick(now)
        if decisions:
            return decisions[0], now
    raise AssertionError("the ask does not end")


@pytest.mark.parametrize(("patience", "is_old"), [(0.04, False), (0.9, False), (2.0, True)])
def test_a_short_silence_is_not_that_of_old_builds(patience, is_old):
    """A request with a short deadline ends before replies arrive, and would run uncounted."""
    holder = holder_of("a", "b", "c")
    decision, now = undecided(holder, patience)
    assert holder.runs_among_old_builds("a", decision.asked, lambda vm: True, now) is is_old


def test_old_builds_are_found_by_several_short_asks():
    """Requests with short deadlines only would all be refused in an upgrade."""
    holder = holder_of("a", "b", "c")
    found = []
    for second in range(8):
        decision, now = undecided(holder, 0.2, float(second))
        found.append(holder.runs_among_old_builds("a", decision.asked, lambda vm: True, now))
    assert not found[0] and any(found)


@pytest.mark.parametrize("silent", ["b", "c"])
def test_vms_that_are_not_heard_are_not_old_builds(silent):
    """The asked VM may be cut off while it counts for others."""
    holder = holder_of("a", "b", "c")
    decision, now = undecided(holder, 2.0)
    assert not holder.runs_among_old_builds("a", decision.asked, lambda vm: vm != silent, now)


def test_changed_granters_are_ordered_only_for_workspaces_with_requests(monkeypatch):
    """Ordering those of 8,500 workspaces at once blocks the event loop for 0.8 s."""
    ranked = []

    def rank(workspace, vm):
        ranked.append(workspace)
        return workspace_rank(workspace, vm)

    monkeypatch.setattr(allowance_holder, "workspace_rank", rank)
    holder = holder_of("a", "b")
    for number in range(100):
        holder.ask(f"w{number}", 1, ALLOWANCE, 1.0, 2.0, 0.0)
    ranked.clear()
    holder.update_granters(frozenset(("c", "d")))
    assert not ranked
    _, sent = holder.ask("w7", 1, ALLOWANCE, 1.0, 2.0, 0.0)
    assert set(ranked) == {"w7"} and {each.vm for each in sent} <= {"c", "d"}


def test_local_refusals_keep_the_time_of_the_granter():
    """Callers told to come back within a second would be refused until the granter's time."""
    holder = holder_of("b")
    number, _ = holder.ask("w", 1, ALLOWANCE, 1.0, 2.0, 0.0)
    decision, _ = holder.receive("b", AllowanceReply(number, AllowanceOutcome.REFUSED, 9.0, 1), 0.1)
    assert decision.seconds == 9.0
    found = [holder.refusal("w", 1.0, 0.2) for _ in range(20)]
    assert all(8.9 <= each < 9.9 for each in found)
    assert max(found) - min(found) > 0.5
    assert holder.refusal("w", 1.0, 0.35) is None
