"""Tests that bound the cost of bursts of changes and of restarts.

The growth with the number of VMs and the cost of a restart are bounded by ratios of figures that
the same test measures.
"""

import pytest

from pimentoquay.bench.configuration_relay import (
    measure_burst,
    measure_lost_parent,
    measure_restart,
)
from pimentoquay.configuration.ranks import FAN_OUT
from pimentoquay.configuration.transfers import MAX_TRANSFERS, WINDOW_PARTS

MAX_IN_FORCE_SECONDS = 6.0
MAX_BYTES_PER_SECOND = 3000
"""Maximum rate of control traffic that a VM may send, in bytes per second."""


def test_burst_is_in_force_in_time_and_within_each_vms_budget():
    cost = measure_burst(29, 500, 60.0)
    assert cost.latest < MAX_IN_FORCE_SECONDS
    assert cost.highest_sent < MAX_BYTES_PER_SECOND
    assert cost.highest_received < MAX_BYTES_PER_SECOND


def test_burst_traffic_per_vm_does_not_grow_with_the_number_of_vms():
    few_vms, many_vms = measure_burst(8, 100, 20.0), measure_burst(20, 100, 20.0)
    heartbeat_margin = many_vms.vms * 50
    assert many_vms.highest_sent < few_vms.highest_sent + heartbeat_margin
    assert many_vms.highest_sent < FAN_OUT * many_vms.log_bytes


@pytest.mark.parametrize("rank", [0, 1, 2, 4])
def test_change_is_in_force_in_time_though_a_parent_falls_silent(rank):
    assert measure_lost_parent(16, rank) < MAX_IN_FORCE_SECONDS


def test_restart_limits_bytes_in_flight_and_lets_ready_vms_serve_others():
    cost = measure_restart(29, 1000)
    assert cost.highest_sent < cost.vms / 2 * cost.whole_bytes
    assert cost.most_unread < MAX_TRANSFERS * WINDOW_PARTS * cost.whole_bytes
