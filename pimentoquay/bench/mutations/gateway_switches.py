"""Mechanisms of the gateway that can be switched off, and the tests that have to fail then."""

from pimentoquay.bench.mutations.replacements import (
    connect_unchecked,
    find_server_refusing,
    learn_as_seen_now,
    read_body_without_limit,
    read_one_page,
    return_constant,
    use_whole_limit,
    wait_behind_all,
    wait_for_any_version,
)
from pimentoquay.bench.mutations.stream_replacements import (
    drop_events_before_a_wrong_one,
    ignore_unsent_answers,
)
from pimentoquay.bench.mutations.switch import Switch
from pimentoquay.kernel.programs import STOP_SIGNALS

__all__ = ["GATEWAY_SWITCHES"]

_NOTICES = "pimentoquay/gateway/tests/test_notices.py::"
_POOLS = "pimentoquay/gateway/tests/test_pools.py::"
_RESTORED = "pimentoquay/gateway/tests/test_store_restored.py::"
_DEADLY = "pimentoquay/gateway/tests/test_deadly_parts.py::"
_LIMITS = "pimentoquay/gateway/tests/test_engine_limits.py::"
_LIMITS_POLICY = "pimentoquay/policy/tests/test_engine_limits.py::"
_REQUESTS = "pimentoquay/gateway/tests/test_deadly_requests.py::"
_REQUEST_LOADS = "pimentoquay/policy/tests/test_request_loads.py::"
_FULL_SIZE = "pimentoquay/gateway/tests/test_full_size.py::"
_VERSIONS = "pimentoquay/gateway/tests/test_software_versions.py::"
_INVALID = "pimentoquay/gateway/tests/test_invalid_records.py::"
_COPIES = "pimentoquay/gateway/tests/test_late_copies.py::"
_PROMPTS = "pimentoquay/policy/tests/test_prompt_loads.py::"
_EVENTS = "pimentoquay/gateway/tests/test_event_order.py::"

GATEWAY_SWITCHES = (
    Switch(
        "leaving by header",
        "pimentoquay.policy.engine_notices:EngineNotices.is_leaving",
        return_constant(False),
        _NOTICES + "test_an_engine_that_says_it_leaves_gets_no_new_requests_"
        "though_it_is_listed_as_ready",
    ),
    Switch(
        "leaving told to peers",
        "pimentoquay.gateway.notices:LeavingNotices.report",
        return_constant(None),
        _NOTICES + "test_peers_learn_that_an_engine_is_leaving_also_those_that_connect_later",
    ),
    Switch(
        "pause of an engine",
        "pimentoquay.policy.engine_notices:EngineNotices.pause_seconds",
        return_constant(0.0),
        _NOTICES + "test_nothing_is_sent_to_an_engine_during_its_pause",
    ),
    Switch(
        "refusal until the first engine ends its pause",
        "pimentoquay.gateway.shared_state:SharedState.pause_seconds",
        return_constant(None),
        _NOTICES + "test_callers_are_refused_until_the_first_engine_ends_its_pause",
    ),
    Switch(
        "era of the store",
        "pimentoquay.policy.store_position:StoreEra.raise_to",
        return_constant(False),
        _RESTORED + "test_a_record_at_an_offset_that_was_given_out_again_is_read",
    ),
    Switch(
        "claim of an earlier era",
        "pimentoquay.platform.store:era_of",
        return_constant(2),
        _RESTORED + "test_a_claim_does_not_survive_a_restoration_though_its_next_offset_is_free",
    ),
    Switch(
        "newer heartbeat of an earlier era",
        "pimentoquay.policy.engine_list:era_of",
        return_constant(1),
        _RESTORED + "test_a_gateway_that_started_after_the_restoration_takes_newer_records_"
        "from_its_peers",
    ),
    Switch(
        "texts that have no encoding are refused",
        "pimentoquay.kernel.input_checks:check_text",
        lambda original: lambda value: value,
        _INVALID + "test_gateways_go_on_beside_an_entry_whose_text_has_no_encoding"
        "[version cut within a character]",
    ),
    Switch(
        "numbers out of range are refused",
        "pimentoquay.kernel.input_checks:check_range",
        lambda original: lambda value, minimum=0: value,
        "pimentoquay/platform/tests/test_invalid_entries.py::"
        "test_an_entry_with_a_number_out_of_range_is_rejected[seq = 922337203685]",
    ),
    Switch(
        "fields are read of objects only",
        "pimentoquay.platform.configuration:required",
        lambda original: lambda item, *field: original({field[0]: item.get(field[0])}, *field),
        "pimentoquay/gateway/tests/test_invalid_records.py::"
        "test_gateways_go_on_beside_a_configuration_whose_parts_are_no_objects[route in a list]",
    ),
    Switch(
        "addresses that cannot be connected are refused",
        "pimentoquay.platform.engine_entry:check_address",
        lambda original: lambda address: address,
        _INVALID + "test_an_invalid_entry_of_a_listed_engine_names_none_and_the_engine_s_own_holds",
    ),
    Switch(
        "attempts to connect fail with OSError",
        "pimentoquay.standin.virtual_links:connect_tcp",
        connect_unchecked,
        _INVALID + "test_gateways_go_on_if_attempts_to_connect_to_engines_raise[127.9..9:80]",
    ),
    Switch(
        "connection lost as it is opened",
        "pimentoquay.http1.client_connection:ClientConnection.is_closing",
        lambda original: False,
        "pimentoquay/http1/tests/test_client.py::"
        "test_a_connection_lost_before_the_request_is_sent_is_a_failed_one[close-0.0]",
    ),
    Switch(
        "size of a body",
        "pimentoquay.http1.client:Exchange.read_body",
        read_body_without_limit,
        "pimentoquay/gateway/tests/test_endless.py::"
        "test_a_body_without_end_is_counted_and_opens_the_circuit_at_once",
    ),
    Switch(
        "coordinator rebuilt from reports",
        "pimentoquay.policy.pool_placement:PoolPlacement.apply_report",
        return_constant(None),
        _POOLS + "test_another_coordinator_takes_over_with_the_reports_of_the_gateways",
    ),
    Switch(
        "silent relays are suspected",
        "pimentoquay.policy.relay_liveness:RelayLiveness.is_heard",
        return_constant(True),
        "pimentoquay/gateway/tests/test_mesh.py::"
        "test_the_loss_of_a_relay_disconnects_no_other_gateway",
    ),
    Switch(
        "engine that refused a grant is avoided",
        "pimentoquay.policy.pool_placement:PoolPlacement.record_full",
        return_constant(None),
        "pimentoquay/policy/tests/test_pools.py::"
        "test_an_engine_that_refused_granted_memory_is_not_granted_again_at_once",
    ),
    Switch(
        "answer with an id is none of a call",
        "pimentoquay.http1.response_marks:ResponseMarks.is_own",
        return_constant(True),
        "pimentoquay/gateway/tests/test_similar_failures.py::"
        "test_a_late_copy_of_an_answer_is_not_taken_for_that_of_a_management_call",
    ),
    Switch(
        "answer without an id is none of a request",
        "pimentoquay.http1.response_marks:ResponseMarks.is_own",
        return_constant(True),
        _COPIES + "test_a_copy_of_a_refusal_is_no_answer_to_a_later_call[/order/b-no id]",
    ),
    Switch(
        "connection carries each request once",
        "pimentoquay.http1.response_marks:ResponseMarks.may_carry",
        return_constant(True),
        _COPIES + "test_a_copy_of_the_refusal_of_an_earlier_attempt_is_no_answer[/order/a-id]",
    ),
    Switch(
        "connection names each reservation once",
        "pimentoquay.http1.response_marks:ResponseMarks.claim",
        return_constant(True),
        _COPIES + "test_a_copy_of_a_reservation_is_no_answer_to_a_later_reservation",
    ),
    Switch(
        "no call follows one that failed",
        "pimentoquay.http1.response_marks:ResponseMarks.require_marks",
        return_constant(None),
        _COPIES + "test_a_copy_of_a_refused_reservation_is_no_answer_to_a_later_one",
    ),
    Switch(
        "nothing is sent on a lost connection",
        "pimentoquay.http1.client_connection:ClientConnection.is_closing",
        lambda original: property(lambda self: False),
        "pimentoquay/http1/tests/test_client.py::"
        "test_a_connection_lost_before_the_request_is_sent_is_a_failed_one[abort-0.0]",
    ),
    Switch(
        "quarantine of prompts",
        "pimentoquay.policy.request_quarantine:RequestQuarantine.quarantine_of",
        return_constant(None),
        _DEADLY + "test_a_part_of_prompts_that_crashes_engines_crashes_few_of_them",
    ),
    Switch(
        "evidence of prompts told to peers",
        "pimentoquay.gateway.notices:NoticeExchange.publish",
        return_constant(None),
        _DEADLY + "test_gateways_behind_relays_learn_of_a_deadly_part_within_the_contact_time",
    ),
    Switch(
        "quarantines kept in the store",
        "pimentoquay.gateway.request_guard:RequestGuard.pending_records",
        return_constant(()),
        _DEADLY + "test_a_deadly_part_stays_in_quarantine_when_all_gateways_start_again",
    ),
    Switch(
        "engine checked after a lost run",
        "pimentoquay.http1.client:ConnectionPool.check_server",
        find_server_refusing,
        _DEADLY + "test_broken_connections_of_engines_that_still_run_are_no_evidence",
    ),
    Switch(
        "answers clear parts of prompts",
        "pimentoquay.policy.request_quarantine:RequestQuarantine.record_success",
        return_constant(()),
        _PROMPTS + "test_sound_requests_are_served_soon_though_nothing_was_known_to_be_sound",
    ),
    Switch(
        "trial of a doubtful quarantine",
        "pimentoquay.policy.request_quarantine:RequestQuarantine.begin_trial",
        return_constant(False),
        _DEADLY + "test_a_quarantine_ends_when_an_engine_begins_to_answer_such_a_prompt",
    ),
    Switch(
        "engine that is back under its id crashes anew",
        "pimentoquay.policy.request_quarantine:RequestQuarantine.start_of_crash",
        lambda original: lambda self, listed, now: listed,
        "pimentoquay/policy/tests/test_request_quarantine.py::"
        "test_an_engine_that_is_back_under_its_id_crashes_anew",
    ),
    Switch(
        "trial told to peers",
        "pimentoquay.policy.request_quarantine:RequestQuarantine.record_trial",
        return_constant(True),
        "pimentoquay/policy/tests/test_request_quarantine.py::"
        "test_a_request_in_quarantine_is_tried_by_one_vm_and_more_and_more_seldom",
    ),
    Switch(
        "crashes under a request counted",
        "pimentoquay.policy.crash_evidence:is_request",
        return_constant(False),
        "pimentoquay/policy/tests/test_request_quarantine.py::"
        "test_a_request_that_alone_was_at_two_crashes_is_quarantined",
    ),
    Switch(
        "answers clear requests",
        "pimentoquay.gateway.request_guard:RequestGuard.record_answered",
        return_constant(None),
        _REQUESTS + "test_a_sound_call_that_repeats_is_served_though_servers_crash_for_other_"
        "reasons",
    ),
    Switch(
        "quarantine of calls",
        "pimentoquay.policy.request_quarantine:RequestQuarantine.quarantine_of",
        return_constant(None),
        _REQUEST_LOADS + "test_a_request_that_crashes_servers_is_not_sent_much_more",
    ),
    Switch(
        "streams go on at their version",
        "pimentoquay.gateway.streams:WaitingStream",
        wait_for_any_version,
        _VERSIONS + "test_streams_of_a_crashed_engine_go_on_at_their_version_only",
    ),
    Switch(
        "order of the streams that wait",
        "pimentoquay.policy.stream_queue:StreamQueue.ahead_of",
        wait_behind_all,
        _VERSIONS + "test_a_late_stream_that_waits_to_go_on_does_not_hold_up_new_ones",
    ),
    Switch(
        "origins of streams told to peers",
        "pimentoquay.gateway.stream_origins:OriginExchange._tell",
        return_constant(None),
        _VERSIONS + "test_a_stream_that_began_during_a_release_goes_on_at_its_version_after_a_kill",
    ),
    Switch(
        "origins told when a second version is listed",
        "pimentoquay.gateway.stream_origins:OriginExchange._update_mixed",
        return_constant(None),
        _VERSIONS + "test_gateways_behind_relays_are_told_where_streams_began",
    ),
    Switch(
        "streams of a version that is gone are refused at once",
        "pimentoquay.gateway.stream_refusals:can_go_on",
        return_constant(True),
        _VERSIONS + "test_streams_of_a_version_that_is_gone_are_refused_at_once",
    ),
    Switch(
        "origin of a stream remembered",
        "pimentoquay.policy.stream_origins:StreamOrigins.software_of",
        return_constant(None),
        "pimentoquay/policy/tests/test_version_loads.py::"
        "test_streams_find_their_version_after_half_of_the_vms_were_killed",
    ),
    Switch(
        "limit of an engine",
        "pimentoquay.policy.engine_limits:EngineLimits.record_response",
        return_constant(None),
        _LIMITS + "test_an_engine_that_names_a_limit_gets_no_more_from_all_gateways_together",
    ),
    Switch(
        "limits shared among all VMs",
        "pimentoquay.policy.engine_limits:share_of",
        use_whole_limit,
        _LIMITS + "test_an_engine_that_names_a_limit_gets_no_more_from_all_gateways_together",
    ),
    Switch(
        "limits told to peers",
        "pimentoquay.gateway.notices:LimitNotices.report",
        return_constant(None),
        _LIMITS + "test_gateways_behind_relays_and_those_that_start_later_learn_of_a_limit",
    ),
    Switch(
        "requests over the limits refused",
        "pimentoquay.gateway.shared_state:SharedState.refuse_over_limit",
        return_constant(None),
        _LIMITS + "test_requests_over_the_limits_of_all_engines_are_refused_at_once",
    ),
    Switch(
        "later response decides on a limit",
        "pimentoquay.policy.engine_limits:EngineLimits.learn",
        learn_as_seen_now,
        _LIMITS_POLICY + "test_the_latest_response_decides_wherever_it_was_seen",
    ),
    Switch(
        "limits kept by coordinators",
        "pimentoquay.policy.engine_limits:EngineLimits.may_grant",
        return_constant(True),
        _LIMITS + "test_a_coordinator_keeps_the_limits_of_the_engines_that_it_grants",
    ),
    Switch(
        "events read together with a wrong one are sent",
        "pimentoquay.gateway.event_reader:EventReader._take_sound",
        drop_events_before_a_wrong_one,
        _EVENTS + "test_events_that_are_read_together_with_a_wrong_one_reach_the_caller[wrong id]",
    ),
    Switch(
        "rest of finished answers sent in a planned stop",
        "pimentoquay.http1.server_connection:ServerConnection.is_busy",
        ignore_unsent_answers,
        "pimentoquay/gateway/tests/test_slow_callers.py::"
        "test_a_planned_stop_sends_the_rest_of_finished_answers_to_slow_callers[/sheet/a]",
    ),
    Switch(
        "planned stop goes on after a second SIGTERM",
        "pimentoquay.kernel.programs:_run",
        lambda original: lambda main, ending_signals: original(main, STOP_SIGNALS),
        "pimentoquay/kernel/tests/test_programs.py::"
        "test_a_drain_goes_on_after_a_signal_that_does_not_end_the_program",
    ),
    Switch(
        "pieces without an id end a run that may be resumed",
        "pimentoquay.gateway.events:StreamEvent.is_piece",
        lambda original: property(lambda self: False),
        _EVENTS + "test_an_event_whose_id_is_garbled_does_not_come_twice[none]",
    ),
    Switch(
        "messages in parts",
        "pimentoquay.gateway.part_sender:parts_of",
        lambda original: lambda message: (message,),
        _FULL_SIZE + "test_a_gateway_that_connects_gets_the_whole_list_before_it_is_ready",
    ),
    Switch(
        "bounded records of streams",
        "pimentoquay.policy.stored_origins:iterate_parts",
        lambda original: lambda items, *bounds: iter((tuple(items),) if items else ()),
        "pimentoquay/policy/tests/test_stored_origins.py::"
        "test_no_batch_is_longer_than_a_record_of_the_store_and_none_is_left[1]",
    ),
    Switch(
        "store read up to its end",
        "pimentoquay.gateway.feed:StoreFeed._read_on",
        read_one_page,
        "pimentoquay/gateway/tests/test_feed.py::"
        "test_a_gateway_far_behind_the_store_reads_on_without_a_pause",
    ),
)
"""Mechanisms of the gateway on the users' platform."""
