from pimentoquay.bench.membership_cost import measure_membership

MAX_BYTES_PER_SECOND = 3000
"""Maximum rate of control traffic that a VM may send in steady state, in bytes per second."""


def test_steady_state_does_not_grow_with_the_membership_list():
    few, many = measure_membership(9, 10), measure_membership(9, 400)
    assert many.steady_bytes < few.steady_bytes * 1.05
    assert many.change_bytes < 10 * few.change_bytes + 1000


def test_steady_state_at_29_vms_a_data_centre_is_under_the_budget():
    small, large = measure_membership(6, 10), measure_membership(18, 10)
    per_peer = (large.steady_bytes - small.steady_bytes) / 4
    assert small.steady_bytes + per_peer * 27 < MAX_BYTES_PER_SECOND
