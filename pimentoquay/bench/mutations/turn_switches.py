"""Mechanisms that bound the work of one read, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["TURN_SWITCHES"]

_MESSAGES = "pimentoquay/transport/tests/test_small_messages.py::"
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
    Switch(
        "messages of a peer are handled in turns",
        "pimentoquay.transport.bounded_connection:ITEMS_PER_TURN",
        lambda original: 1_000_000,
        _MESSAGES + "test_tiny_frames_of_one_read_are_handled_in_turns[ping-False]",
    ),
    Switch(
        "unread responses to pings are bounded",
        "pimentoquay.transport.bounded_connection:MAX_UNREAD_PONGS_BYTES",
        lambda original: 1_000_000_000,
        _MESSAGES + "test_a_peer_that_does_not_read_the_responses_to_its_pings_is_closed[True]",
    ),
)
