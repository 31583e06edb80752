"""Bounds on what a burst of changes and a restart cost, as ratios within one run."""

import pytest

from pimentoquay.bench.configuration_relay import (
    measure_burst,
    measure_lost_parent,
    measure_restart,
)
from pimentoquay.configuration.ranks import FAN_OUT
from pimentoquay.configuration.transfers import MAX_TRANSFERS, WINDOW_PARTS

IN_FORCE_SECONDS = 6.0
BUDGET = 3000
"""Bytes a second that a VM may send on control."""


def test_burst_is_in_force_in_time_and_within_each_vms_budget():
    cost = measure_burst(29, 500, 60.0)
    assert cost.latest < IN_FORCE_SECONDS
    assert cost.highest_sent < BUDGET
    assert cost.highest_received < BUDGET


def test_no_vm_sends_more_in_a_burst_the_more_vms_there_are():
    few, many = measure_burst(8, 100, 20.0), measure_burst(20, 100, 20.0)
    quiet = many.vms * 50
    assert many.highest_sent < few.highest_sent + quiet
    assert many.highest_sent < FAN_OUT * many.log_bytes


@pytest.mark.parametrize("rank", [0, 1, 2, 4])
def test_change_is_in_force_in_time_though_a_parent_falls_silent(rank):
    assert measure_lost_parent(16, rank) < IN_FORCE_SECONDS


def test_restart_keeps_little_unread_and_lets_ready_vms_serve_others():
    cost = measure_restart(29, 1000)
    assert cost.highest_sent < cost.vms / 2 * cost.whole_bytes
    assert cost.most_unread < MAX_TRANSFERS * WINDOW_PARTS * cost.whole_bytes
