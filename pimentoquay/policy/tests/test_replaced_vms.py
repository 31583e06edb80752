"""Machines that are replaced, cut off or suspended, beside a workspace's allowance.

All names that the store had ever held counted as voters, so that after fifteen replacements of
three machines no gateway earned anything, for good.
"""

import pytest

from pimentoquay.policy.tests.allowance_replay import RATE, WINDOW
from pimentoquay.policy.tests.replaced_vms import ReplacedReplay
from pimentoquay.policy.vm_liveness import VmLiveness, least_votes

LIMIT = (RATE * WINDOW + RATE) * 1.1
SIZES = (3, 79, 520)
INTERVAL_BY_COUNT = {3: 1.5, 79: 1.5, 520: 0.25}
SETTLED_SECONDS = 45.0


def check_counted(replay):
    """Check that voters and records are those of the VMs that are alive."""
    alive = set(replay.gateway_by_vm)
    for gateway in replay.gateway_by_vm.values():
        assert set(gateway.known) == alive and gateway.members.voters <= alive
    assert set(replay.record_by_vm) == alive


def check_served(replay, seconds):
    """Check that all requests run in the next seconds, or as many as the allowance lets run."""
    before, began_at = replay.outcomes.copy(), replay.now
    replay.run(began_at + seconds)
    if replay.load < 1.0:
        assert set(replay.outcomes - before) == {"run"}
    else:
        assert replay.used(began_at, replay.now) >= 0.95 * RATE
    assert replay.most_in_window() <= LIMIT


@pytest.mark.parametrize("load", (0.7, 7.0))
@pytest.mark.parametrize("count", SIZES)
def test_an_allowance_outlasts_a_hundred_replaced_machines(count, load):
    replay = ReplacedReplay(count, load=load)
    replay.run(5.0)
    replay.replace_in_turn(100, INTERVAL_BY_COUNT[count])
    replay.run(5.0 + 100 * INTERVAL_BY_COUNT[count] + SETTLED_SECONDS)
    check_counted(replay)
    check_served(replay, 10.0)


@pytest.mark.parametrize("load", (0.7, 7.0))
def test_names_of_machines_that_were_gone_before_the_start_stop_counting(load):
    """Hundreds of records of the build before, which removes none."""
    replay = ReplacedReplay(3, old_names=300, load=load)
    replay.run(90.0)
    check_counted(replay)
    check_served(replay, 10.0)


@pytest.mark.parametrize("load", (0.7, 7.0))
@pytest.mark.parametrize("count", SIZES)
def test_a_granter_that_is_replaced_exceeds_no_allowance(count, load):
    replay = ReplacedReplay(count, load=load)
    replay.run(7.0)
    replay.replace(replay.granter())
    replay.run(40.0)
    check_counted(replay)
    check_served(replay, 10.0)


@pytest.mark.parametrize("count", SIZES)
def test_a_machine_that_comes_back_counts_again(count):
    replay = ReplacedReplay(count, load=7.0)
    replay.run(7.0)
    replay.gateway_by_vm[replay.granter()].frozen_until = replay.now + 30.0
    replay.run(35.0)
    assert len(replay.record_by_vm) == count - 1
    replay.run(45.0)
    check_counted(replay)
    check_served(replay, 10.0)


CUTS = {
    "half, both reach the store": (1 / 2, ()),
    "half, away from the store": (1 / 2, ("away",)),
    "three of seven, both reach the store": (3 / 7, ()),
    "three of seven, away from the store": (3 / 7, ("away",)),
    "a quarter, which alone reaches the store": (1 / 4, (None,)),
}


@pytest.mark.parametrize("count", (8, 79, 520))
@pytest.mark.parametrize("cut", CUTS)
def test_a_side_of_a_cut_does_not_take_itself_for_all_that_is_alive(cut, count):
    share, without_store = CUTS[cut]
    replay = ReplacedReplay(count, load=7.0)
    replay.run(7.0)
    replay.cut(replay.vms[: int(share * count)])
    replay.sides_without_store = set(without_store)
    replay.run(52.0)
    assert replay.most_in_window() <= LIMIT
    replay.cut(())
    replay.sides_without_store = set()
    replay.run(82.0)
    check_counted(replay)
    check_served(replay, 10.0)


def test_machines_that_are_cut_off_together_are_not_taken_for_gone_one_by_one():
    """The first of them to be silent for long enough would have been gone with a majority left."""
    vms = {f"vm-{number}": "hall" for number in range(7)}
    liveness = VmLiveness("vm-0")
    for step in range(100):
        now = step * 0.25
        heard_at = {
            vm: min(now, 5.0 if number < 3 else now) - 0.4 * number / 7
            for number, vm in enumerate(reversed(vms))
        }
        heard_at |= {vm: min(at, 5.0) for vm, at in heard_at.items() if vm in list(vms)[3:]}
        liveness.update(vms, heard_at, now)
        assert not liveness.gone(vms, now, has_relays=False, is_reader=True)


def test_a_granter_without_news_of_the_store_needs_half_of_the_votes_and_later_more():
    needed = [least_votes(seconds) for seconds in (0.0, 5.9, 6.0, 29.9, 30.0)]
    assert needed == [0.0, 0.0, 0.5, 0.5, 0.8]
