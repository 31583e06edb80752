"""Mechanisms for cut paths and for what outlives all VMs, and the tests that have to fail then."""

from pimentoquay.bench.mutations.replacements import (
    count_all_as_ahead,
    do_nothing_async,
    ignore_continuation,
    keep_role_while_cut_off,
    lose_place_of_first_attempt,
    refuse_all_tunnels,
    return_constant,
    return_to_path_at_once,
    turn_late_like_new_streams,
    use_no_path_before_its_time,
    yield_to_all_streams,
)
from pimentoquay.bench.mutations.stream_replacements import (
    close_versions_to_all_streams,
    count_unreachable_engines,
    take_all_served_versions,
)
from pimentoquay.bench.mutations.switch import Switch
from pimentoquay.policy.engine_paths import Verdict
from pimentoquay.tunnels.server import USER_TIMEOUT_MILLISECONDS

__all__ = ["PATH_SWITCHES"]

_CUT = "pimentoquay/gateway/tests/test_unreachable_engines.py::"
_PATHS = "pimentoquay/policy/tests/test_engine_paths.py::"
_STORED = "pimentoquay/policy/tests/test_stored_origins.py::"
_REJOINED = "pimentoquay/gateway/tests/test_rejoined_streams.py::"
_ONLY = "pimentoquay/policy/tests/test_only_versions.py::"
_POOLS = "pimentoquay/policy/tests/test_pools.py::"
_STEP = "pimentoquay/gateway/tests/test_out_of_step.py::"
_DOUBT = "pimentoquay/policy/tests/test_version_doubt.py::"

PATH_SWITCHES = (
    Switch(
        "long answers outlast a cut",
        "pimentoquay.http1.client:Exchange.keep_if_path_is_lost",
        return_constant(None),
        "pimentoquay/gateway/tests/test_long_answers.py::"
        "test_a_long_answer_that_has_begun_is_not_cut_as_its_path_counts_as_lost",
    ),
    Switch(
        "connections through peers",
        "pimentoquay.tunnels.peer_tunnels:PeerTunnels.open",
        refuse_all_tunnels,
        _CUT + "test_callers_of_a_gateway_that_reaches_no_engine_are_served_within_a_second"
        "[Cut.REFUSED]",
    ),
    Switch(
        "callers of a peer may stop reading",
        "pimentoquay.tunnels.server:PEER_USER_TIMEOUT_MILLISECONDS",
        lambda original: USER_TIMEOUT_MILLISECONDS,
        "pimentoquay/gateway/tests/test_slow_callers.py::"
        "test_a_caller_that_stops_reading_for_a_while_gets_the_rest_through_a_tunnel",
    ),
    Switch(
        "refusal seen by a peer",
        "pimentoquay.tunnels.paths:judge",
        return_constant(Verdict.ENDED),
        _CUT + "test_requests_that_a_cut_breaks_are_no_evidence_of_crashes[Cut.REFUSED]",
    ),
    Switch(
        "time in which a process stood still",
        "pimentoquay.kernel.timeouts:has_stood_still",
        return_constant(False),
        "pimentoquay/kernel/tests/test_timeouts.py::"
        "test_time_in_which_the_process_stood_still_does_not_count",
    ),
    Switch(
        "steps of a timeout",
        "pimentoquay.kernel.timeouts:STEPS",
        lambda steps: 1,
        "pimentoquay/tunnels/tests/test_tunnels.py::"
        "test_a_tunnel_opens_though_its_peer_stood_still_while_it_connected[1.05]",
    ),
    Switch(
        "time until a path is used again",
        "pimentoquay.policy.engine_paths:PathTable.record_probe",
        return_to_path_at_once,
        _PATHS + "test_a_cut_that_comes_and_goes_is_left_less_and_less_often",
    ),
    Switch(
        "peers that failed are asked last",
        "pimentoquay.policy.tunnel_peers:TunnelPeers._has_failed",
        return_constant(False),
        _PATHS + "test_peers_of_a_data_centre_that_has_failed_are_asked_after_those_of_others",
    ),
    Switch(
        "working path used if there is no other",
        "pimentoquay.policy.engine_paths:PathTable.has_no_way",
        use_no_path_before_its_time,
        "pimentoquay/gateway/tests/test_peers_of_cut_gateways.py::"
        "test_callers_are_served_when_a_cut_moves_to_the_gateways_that_reached_the_engines"
        "[Cut.REFUSED]",
    ),
    Switch(
        "new address of a gateway that comes back",
        "pimentoquay.gateway.vm_addresses:VmAddresses._is_current",
        return_constant(False),
        "pimentoquay/gateway/tests/test_peers_of_cut_gateways.py::"
        "test_a_gateway_that_comes_back_at_another_address_is_used_as_a_peer",
    ),
    Switch(
        "peers name those that reach engines",
        "pimentoquay.policy.tunnel_peers:TunnelPeers._reaches_any",
        return_constant(False),
        "pimentoquay/policy/tests/test_path_loads.py::"
        "test_the_one_vm_that_reaches_the_engines_is_found[195]",
    ),
    Switch(
        "role of sending orders moves",
        "pimentoquay.gateway.mesh:order_holder",
        keep_role_while_cut_off,
        "pimentoquay/gateway/tests/test_stage_controller.py::"
        "test_a_holder_that_is_cut_off_hands_its_role_to_one_that_reaches_the_engines"
        "[Cut.REFUSED]",
    ),
    Switch(
        "version recorded before streams begin",
        "pimentoquay.policy.stored_origins:RecordedVersions.may_begin",
        return_constant(True),
        _STORED + "test_new_streams_begin_at_a_version_once_it_is_recorded",
    ),
    Switch(
        "untold streams are of the only version until a second one is recorded",
        "pimentoquay.policy.only_versions:OnlyVersions.possible_origins",
        take_all_served_versions,
        _REJOINED + "test_streams_go_on_if_all_gateways_are_killed_as_soon_as_a_second_version_is"
        "_listed",
    ),
    Switch(
        "second version waits until streams of the first are told or taken up",
        "pimentoquay.policy.only_versions:OnlyVersions._is_held",
        return_constant(False),
        _ONLY
        + "test_streams_go_on_if_all_vms_end_around_the_listing_of_a_second_version[4-7-14.0]",
    ),
    Switch(
        "second version waits for engines of the first only while they are reached",
        "pimentoquay.gateway.stream_origins:reached_share",
        count_unreachable_engines,
        "pimentoquay/gateway/tests/test_only_versions.py::test_the_second_version_is_used_soon_"
        "after_a_kill_if_the_engines_of_the_first_died_too",
    ),
    Switch(
        "versions that are back are recorded again",
        "pimentoquay.policy.stored_origins:RecordedVersions.expire",
        return_constant(None),
        "pimentoquay/gateway/tests/test_only_versions.py::"
        "test_a_version_that_is_back_is_recorded_again_if_another_gateway_had_removed_it",
    ),
    Switch(
        "second version waits for callers of a lost peer",
        "pimentoquay.gateway.step_watch:StepWatch.lost_peer_at",
        return_constant(float("-inf")),
        "pimentoquay/gateway/tests/test_only_versions.py::"
        "test_streams_of_a_killed_gateway_go_on_if_the_second_version_joins_before_that[vm-1]",
    ),
    Switch(
        "streams go on at versions that are not recorded",
        "pimentoquay.gateway.shared_state:SharedState.engines_for_stream",
        close_versions_to_all_streams,
        _REJOINED + "test_a_stream_goes_on_at_its_version_though_the_store_does_not_hold_it",
    ),
    Switch(
        "versions kept in the store",
        "pimentoquay.policy.only_versions:OnlyVersions.due",
        return_constant([]),
        _REJOINED
        + "test_a_stream_that_nobody_knows_does_not_go_on_at_the_only_version_that_is_left",
    ),
    Switch(
        "origins kept in the store",
        "pimentoquay.policy.stored_origins:OriginBatches.next_batch",
        return_constant(None),
        _REJOINED + "test_streams_of_both_versions_go_on_at_theirs_after_all_were_killed",
    ),
    Switch(
        "gateway out of step doubts what it knows",
        "pimentoquay.gateway.step_watch:find_doubt",
        return_constant(None),
        _STEP + "test_streams_do_not_change_their_version_at_a_gateway_that_is_cut_off_from_the_"
        "others",
    ),
    Switch(
        "gateway out of step reads the store",
        "pimentoquay.gateway.origin_store:OriginStore.read_now",
        do_nothing_async,
        _STEP + "test_streams_go_on_at_a_gateway_that_knows_both_versions_and_was_not_told_their_"
        "origin",
    ),
    Switch(
        "peers that fall silent noticed",
        "pimentoquay.policy.version_doubt:HeardPeers.unheard",
        return_constant(frozenset()),
        _DOUBT + "test_a_peer_that_was_never_heard_is_expected_for_a_time",
    ),
    Switch(
        "time in which a gateway stood still",
        "pimentoquay.policy.version_doubt:Standstill.is_recent",
        return_constant(False),
        _STEP + "test_streams_do_not_change_their_version_at_a_gateway_that_has_stood_still",
    ),
    Switch(
        "streams taken up are due like new ones",
        "pimentoquay.policy.tests.test_continued_streams:stream_times",
        ignore_continuation,
        "pimentoquay/policy/tests/test_continued_streams.py::"
        "test_streams_that_are_taken_up_go_on_as_often_as_new_ones_begin",
    ),
    Switch(
        "streams that have begun are never late",
        "pimentoquay.policy.tests.test_resumed_herds:stream_times",
        turn_late_like_new_streams,
        "pimentoquay/policy/tests/test_resumed_herds.py::"
        "test_streams_that_come_back_together_are_not_crowded_out_by_new_ones",
    ),
    Switch(
        "streams that go on wait for their own engines only",
        "pimentoquay.policy.pool_placement:tokens_ahead",
        count_all_as_ahead,
        _POOLS + "test_a_stream_that_goes_on_does_not_wait_behind_those_for_other_engines",
    ),
    Switch(
        "late streams yield to new ones only",
        "pimentoquay.policy.stream_queue:StreamQueue.queued",
        yield_to_all_streams,
        "pimentoquay/policy/tests/test_resumed_herds.py::"
        "test_late_new_streams_use_engines_for_which_no_stream_waits_elsewhere",
    ),
    Switch(
        "streams that go on keep their place",
        "pimentoquay.policy.tests.test_resumed_herds:stream_times",
        lose_place_of_first_attempt,
        "pimentoquay/policy/tests/test_resumed_herds.py::"
        "test_a_stream_that_was_refused_goes_on_before_those_taken_up_later",
    ),
)
"""Mechanisms of cut paths, and of what outlives all gateways."""
