"""Replays of a workspace's allowance over many gateways and their failures.

In any 8 s, what ran must stay below the allowance with its overrun, without any slack, and a
workspace under its allowance must not be refused.
"""

import pytest

from pimentoquay.policy.tests.allowance_replay import RATE, WINDOW, Replay
from pimentoquay.policy.workspaces import Allowance

SIZES = (7, 79, 195, 520)
LIMIT = (RATE * WINDOW + RATE) * 1.1
SLACK = 120_000.0
END = 15.0


def kill(replay):
    vm = replay.granter()
    del replay.gateway_by_vm[vm]
    replay.at(replay.now + 5.0, replay.start, vm)


def suspend(replay):
    replay.gateway_by_vm[replay.granter()].frozen_until = replay.now + 4.0


def cut_half(replay):
    replay.cut([vm for vm, dc in replay.dc_by_vm.items() if dc in ("dc-0", "dc-1")])
    replay.at(replay.now + 5.0, replay.cut, ())


def restart_all(replay):
    for vm in tuple(replay.gateway_by_vm):
        replay.start(vm)


FAILURES = (None, kill, suspend, cut_half, restart_all)


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("count", SIZES)
def test_use_stays_below_the_allowance_with_seven_times_the_load(count, failure):
    replay = Replay(count, load=7.0)
    replay.run(6.5)
    if failure is not None:
        failure(replay)
    replay.run(END)
    assert replay.most_in_window() <= LIMIT
    if failure is None:
        assert replay.used(4.5, END) >= 0.95 * RATE


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("count", SIZES)
def test_a_workspace_under_its_allowance_is_not_refused(count, failure):
    replay = Replay(count, load=0.7)
    replay.run(6.5)
    if failure is not None:
        failure(replay)
    replay.run(END)
    assert replay.refused() == 0.0, replay.outcomes


@pytest.mark.parametrize("load", (0.7, 7.0))
@pytest.mark.parametrize("count", SIZES[1:])
def test_three_quarters_of_the_gateways_are_added_later(count, load):
    replay = Replay(count, load=load, initial=count // 4)
    replay.run(7.0)
    for vm in sorted(replay.dc_by_vm.keys() - replay.gateway_by_vm.keys()):
        replay.start(vm)
    replay.run(7.4)
    for gateway in replay.gateway_by_vm.values():
        gateway.members.update(replay.dc_by_vm, replay.now)
    replay.run(END)
    assert replay.most_in_window() <= LIMIT
    if load < 1.0:
        assert replay.refused() == 0.0, replay.outcomes
    else:
        assert replay.used(11.0, END) >= 0.95 * RATE


def test_a_limit_that_is_lowered_and_raised_binds_at_once():
    replay = Replay(79, load=7.0)
    replay.run(8.0)
    replay.version, replay.allowance = 2, Allowance(RATE / 4, RATE / 4, True)
    replay.run(18.0)
    assert replay.most_in_window(8.3) <= (RATE / 4) * (WINDOW + 1.0) * 1.1
    replay.version, replay.allowance = 3, Allowance(RATE, RATE, True)
    replay.run(24.0)
    assert replay.used(19.0, 24.0) >= 0.95 * RATE


def test_load_that_moves_to_another_zone_is_not_refused():
    """Shares by zone or by gateway would follow the load too late."""
    replay = Replay(79, load=0.9)
    for number in range(5):
        replay.zone = f"dc-{number % 4}"
        replay.run(6.0 + 2.0 * number)
    assert replay.refused() == 0.0, replay.outcomes


def test_streams_that_waited_for_memory_stay_below_the_allowance():
    """Units are taken before the wait for memory, so grants of seconds may run together."""
    replay = Replay(7, load=1.0)
    replay.memory_full_at, replay.memory_free_at = 8.0, 11.5
    replay.run(20.0)
    assert replay.most_in_window() <= LIMIT + SLACK


def test_messages_of_all_gateways_stay_few():
    """A message for each request and granter, or of each gateway to all, would be a load itself."""
    replay = Replay(520, load=0.9)
    replay.run(8.0)
    votes = replay.count_by_type["LeaseRequest"] + replay.count_by_type["Lease"]
    others = replay.count_by_type.total() - votes
    assert votes / 8.0 / 12 <= 160.0  # a second and granter
    # An ask, its reply, and repetitions where the two took more than 0.25 s.
    assert others <= 6 * replay.outcomes.total()
