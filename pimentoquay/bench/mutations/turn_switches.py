"""Mechanisms that bound the work of one read, and the tests that have to fail without them."""

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

TURN_SWITCHES = (
    Switch(
        "turns of connections that have had few go first",
        "pimentoquay.policy.turn_order:LeastServedFirst._turns_of",
        return_constant(0),
        "pimentoquay/policy/tests/test_turn_order.py::"
        "test_sound_connections_wait_for_few_turns_beside_endless_ones[300-0]",
    ),
    Switch(
        "items of one read from an engine are handled in turns",
        "pimentoquay.http1.client_connection:ClientConnection._handle_items",
        handle_all_items,
        "pimentoquay/gateway/tests/test_small_items.py::"
        "test_other_clients_are_served_in_time[calls: chunks of one byte]",
    ),
    Switch(
        "chunks that nobody has read yet are joined",
        "pimentoquay.http1.client_connection:ClientConnection._add_data",
        keep_chunks_apart,
        "pimentoquay/http1/tests/test_small_items.py::"
        "test_chunks_that_nobody_has_read_yet_are_joined",
    ),
    Switch(
        "the end of a connection waits for what came before it",
        "pimentoquay.http1.client_connection:ClientConnection.connection_lost",
        fail_at_once,
        "pimentoquay/http1/tests/test_small_items.py::"
        "test_an_answer_that_arrived_whole_before_the_connection_ended_is_whole[chunks-loss]",
    ),
    Switch(
        "discarded answers and their headers are bounded",
        "pimentoquay.http1.client_connection:ClientConnection._discard_event",
        count_bodies_only,
        "pimentoquay/http1/tests/test_small_items.py::"
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
)
