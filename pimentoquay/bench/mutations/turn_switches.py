"""Mechanisms that bound the work of one read, and the tests that have to fail without them."""

import math

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch
from pimentoquay.bench.mutations.turn_replacements import (
    count_bodies_only,
    fail_at_once,
    handle_all_items,
    keep_chunks_apart,
    return_all_events,
    search_from_the_start,
)

__all__ = ["TURN_SWITCHES"]

_MESSAGES = "pimentoquay/transport/tests/test_small_messages.py::"
_PEERS = "pimentoquay/gateway/tests/test_small_items_of_peers.py::"
_STORE = "pimentoquay/gateway/tests/test_small_items_of_store.py::"
_PAGES = "pimentoquay/policy/tests/test_store_pages.py::"
_TUNNELS = "pimentoquay/tunnels/tests/test_tunnels.py::"
_FRAMES = "pimentoquay/tunnels/tests/test_small_frames.py::"

_CALLERS = "pimentoquay/http1/tests/test_small_items_of_callers.py::"
_CONNECTION = "pimentoquay.http1.server_connection:"

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
        "items of callers are handled in turns",
        _CONNECTION + "ITEMS_AT_ONCE",
        lambda original: 1_000_000,
        _CALLERS + "test_a_sound_request_waits_for_few_items_beside_bodies_of_one_byte_chunks[6]",
    ),
    Switch(
        "requests sent ahead begin in turns",
        _CONNECTION + "ServerConnection._plan_turn",
        lambda original: lambda self: self._take_turn(),
        _CALLERS + "test_requests_sent_ahead_begin_in_turns_over_all_connections",
    ),
    Switch(
        "reading from callers pauses while much is unread",
        _CONNECTION + "ServerConnection._update_reading",
        return_constant(None),
        _CALLERS + "test_memory_is_bounded_while_callers_send_requests_ahead_without_end",
    ),
    Switch(
        "callers that leave while they are not read are noticed",
        _CONNECTION + "ServerConnection._check_caller",
        return_constant(None),
        _CALLERS
        + "test_a_caller_that_leaves_while_it_is_not_read_cancels_its_request[110000-False]",
    ),
    Switch(
        "requests sent ahead wait while answers are unread",
        _CONNECTION + "MAX_UNSENT_BYTES",
        lambda original: 1_000_000_000,
        _CALLERS + "test_requests_sent_ahead_wait_while_their_caller_reads_no_answers",
    ),
    Switch(
        "framing of a body is bounded",
        _CONNECTION + "MAX_BODY_FRAMING",
        lambda original: 1_000_000,
        _CALLERS + "test_a_body_whose_framing_is_far_longer_than_its_bytes_is_refused",
    ),
    Switch(
        "a gap between requests sent ahead is no end of work",
        _CONNECTION + "ServerConnection.is_busy",
        lambda original: property(lambda self: self._task is not None),
        _CALLERS + "test_a_connection_with_requests_sent_ahead_is_in_progress_between_them",
    ),
    Switch(
        "bodies end with the time of their callers",
        _CONNECTION + "ServerConnection._patience",
        lambda original: property(lambda self: math.inf),
        "pimentoquay/gateway/tests/test_small_items_of_callers.py::"
        "test_a_body_that_drips_beyond_its_callers_deadline_is_refused",
    ),
    Switch(
        "items of one read from an engine are handled in turns",
        "pimentoquay.http1.client_connection:ClientConnection._handle_items",
        handle_all_items,
        "pimentoquay/gateway/tests/test_small_items_of_engines.py::"
        "test_other_clients_are_served_in_time[calls: chunks of one byte]",
    ),
    Switch(
        "chunks that nobody has read yet are joined",
        "pimentoquay.http1.client_connection:ClientConnection._add_data",
        keep_chunks_apart,
        "pimentoquay/http1/tests/test_small_items_of_servers.py::"
        "test_chunks_that_nobody_has_read_yet_are_joined",
    ),
    Switch(
        "the end of a connection waits for what came before it",
        "pimentoquay.http1.client_connection:ClientConnection.connection_lost",
        fail_at_once,
        "pimentoquay/http1/tests/test_small_items_of_servers.py::"
        "test_an_answer_that_arrived_whole_before_the_connection_ended_is_whole[chunks-loss]",
    ),
    Switch(
        "discarded answers and their headers are bounded",
        "pimentoquay.http1.client_connection:ClientConnection._discard_event",
        count_bodies_only,
        "pimentoquay/http1/tests/test_small_items_of_servers.py::"
        "test_the_number_of_discarded_responses_is_bounded[17-False]",
    ),
    Switch(
        "events of one read are passed on in turns",
        "pimentoquay.gateway.events:EventSplitter.feed",
        return_all_events,
        "pimentoquay/gateway/tests/test_small_events.py::"
        "test_events_of_one_read_are_passed_on_in_turns[blank lines]",
    ),
    Switch(
        "bytes of an event are searched once for its end",
        "pimentoquay.gateway.events:EventSplitter.feed",
        search_from_the_start,
        "pimentoquay/gateway/tests/test_small_events.py::"
        "test_bytes_that_come_one_by_one_are_searched_about_once[LF]",
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
        "the oldest origins of streams are dropped, not the topic",
        "pimentoquay.policy.store_pages:NewestPages.__init__",
        lambda original: lambda self, drops_oldest=False: original(self),
        "pimentoquay/gateway/tests/test_origin_pages_readable.py::"
        "test_full_batches_in_all_slots_of_a_writer_do_not_keep_a_gateway_from_loading[1-0]",
    ),
    Switch(
        "the rest of a page is dropped once the store has been restored",
        "pimentoquay.gateway.feed:StoreFeed._is_current",
        return_constant(True),
        "pimentoquay/gateway/tests/test_restored_during_page.py::"
        "test_peers_are_told_of_a_restored_store_though_a_page_was_being_applied",
    ),
    Switch(
        "new connections have time to ask for a tunnel",
        "pimentoquay.tunnels.server:ASK_SECONDS",
        lambda original: 0.0,
        _TUNNELS + "test_a_burst_of_peers_closes_none_that_is_about_to_ask",
    ),
    Switch(
        "connections that do not ask for a tunnel in time are closed",
        "pimentoquay.tunnels.server:TunnelServer._close_unopened",
        return_constant(None),
        _TUNNELS + "test_connections_that_never_ask_are_closed_once_they_had_time_to_ask",
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
