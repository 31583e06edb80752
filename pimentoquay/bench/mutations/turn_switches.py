"""Mechanisms that bound the work of one read, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["TURN_SWITCHES"]

_FRAMES = "pimentoquay/tunnels/tests/test_small_frames.py::"

TURN_SWITCHES = (
    Switch(
        "turns of connections that have had few go first",
        "pimentoquay.policy.turn_order:LeastServedFirst._turns_of",
        return_constant(0),
        "pimentoquay/policy/tests/test_turn_order.py::"
        "test_sound_connections_wait_for_few_turns_beside_endless_ones[300-0]",
    ),
    Switch(
        "frames of a tunnel are handled in turns",
        "pimentoquay.tunnels.client:FRAMES_PER_TURN",
        lambda original: None,
        _FRAMES + "test_one_tunnel_goes_on_in_each_pass_however_many_have_work",
    ),
)
