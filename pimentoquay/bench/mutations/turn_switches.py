"""Mechanisms that bound the work of one read, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["TURN_SWITCHES"]

_MESSAGES = "pimentoquay/transport/tests/test_small_messages.py::"
_PEERS = "pimentoquay/gateway/tests/test_small_items_of_peers.py::"
_STORE = "pimentoquay/gateway/tests/test_small_items_of_store.py::"
_PAGES = "pimentoquay/policy/tests/test_store_pages.py::"
_TUNNELS = "pimentoquay/tunnels/tests/test_tunnels.py::"
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
    Switch(
        "long messages of a peer are applied in turns",
        "pimentoquay.gateway.compose:pieces_of",
        lambda original: lambda message: (message,),
        _PEERS + "test_the_items_of_one_message_are_applied_in_turns[items of a bundle]",
    ),
    Switch(
        "lists of a message are bounded",
        "pimentoquay.messages.codec:MAX_LIST_ITEMS",
        lambda original: 10_000_000,
        _PEERS + "test_a_list_that_is_longer_than_a_sound_message_can_hold_is_refused",
    ),
    Switch(
        "items of a store's page are handled in turns",
        "pimentoquay.kernel.turn_loops:islice",
        lambda original: lambda items, count: original(items, 1_000_000),
        _STORE + "test_invalid_records_of_one_page_are_refused_in_turns",
    ),
    Switch(
        "pages of a topic are bounded",
        "pimentoquay.policy.store_pages:MAX_TOPIC_BYTES",
        lambda original: 1_000_000_000_000,
        _PAGES + "test_pages_without_end_are_refused_before_they_fill_the_memory[500-1500]",
    ),
    Switch(
        "broad pages are not parsed",
        "pimentoquay.policy.store_pages:MAX_PAGE_COMMAS",
        lambda original: 1_000_000_000,
        _STORE + "test_a_page_of_hundred_thousand_items_is_not_parsed",
    ),
    Switch(
        "a poll of a topic ends",
        "pimentoquay.gateway.feed:MAX_PAGES_PER_POLL",
        lambda original: 1_000_000,
        _STORE + "test_a_topic_without_end_does_not_keep_the_others_from_being_read",
    ),
    Switch(
        "connections that ask for no tunnel are bounded",
        "pimentoquay.tunnels.server:TunnelServer.add",
        lambda original: lambda self, side: self._sides.setdefault(side),
        _TUNNELS + "test_connections_that_never_ask_for_a_tunnel_are_bounded",
    ),
    Switch(
        "only connections that have asked count as tunnels",
        "pimentoquay.tunnels.server:_PeerSide.has_asked",
        lambda original: True,
        _TUNNELS + "test_connections_that_never_ask_for_a_tunnel_take_none_from_peers",
    ),
)
