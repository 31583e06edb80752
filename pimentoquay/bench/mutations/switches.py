"""Mechanisms that can be switched off, their replacements and the tests that have to fail then."""

from pimentoquay.bench.mutations.allowance_switches import ALLOWANCE_SWITCHES
from pimentoquay.bench.mutations.close_switches import CLOSE_SWITCHES
from pimentoquay.bench.mutations.entry_switches import ENTRY_SWITCHES
from pimentoquay.bench.mutations.gateway_switches import GATEWAY_SWITCHES
from pimentoquay.bench.mutations.head_switches import HEAD_SWITCHES
from pimentoquay.bench.mutations.leaving_switches import LEAVING_SWITCHES
from pimentoquay.bench.mutations.load_switches import LOAD_SWITCHES
from pimentoquay.bench.mutations.path_switches import PATH_SWITCHES
from pimentoquay.bench.mutations.replacements import (
    accept_any_outcome,
    accept_every_change,
    allow_all_while_probing,
    allow_many_probes,
    apply_append_at_once,
    choose_any_versions,
    disable_reader_takeover,
    do_nothing_async,
    grant_without_owner,
    keep_expired_lease_number,
    match_any_attempt,
    never_find_lost_append,
    never_mark_silent_peers_dead,
    no_hysteresis,
    no_rebuild_grace,
    retry_every_call,
    return_constant,
    same_number_for_all_holders,
    skip_order_of_new_holder,
)
from pimentoquay.bench.mutations.room_switches import ROOM_SWITCHES
from pimentoquay.bench.mutations.service_switches import SERVICE_SWITCHES
from pimentoquay.bench.mutations.speed_switches import SPEED_SWITCHES
from pimentoquay.bench.mutations.stop_switches import STOP_SWITCHES
from pimentoquay.bench.mutations.stream_switches import STREAM_SWITCHES
from pimentoquay.bench.mutations.switch import Switch
from pimentoquay.bench.mutations.turn_switches import TURN_SWITCHES
from pimentoquay.bench.mutations.vm_switches import VM_SWITCHES
from pimentoquay.bench.mutations.workspace_switches import WORKSPACE_SWITCHES

__all__ = ["SWITCHES", "Switch", "switch_of"]


def switch_of(name: str) -> Switch:
    """Return the switch of a mechanism; raise ``LookupError`` if the name is unknown."""
    for switch in SWITCHES:
        if switch.name == name:
            return switch
    raise LookupError(f"no switch {name!r}")


_LEASES = "pimentoquay/orders/tests/test_leases.py::"
_KEYS = "pimentoquay/orders/tests/test_once_only.py::"
_ONCE_ONLY = "pimentoquay/entry/tests/test_once_only.py::"
_MEMBERSHIP = "pimentoquay/membership/tests/test_part.py::"
_SCHEDULER = "pimentoquay/scheduler/tests/test_part.py::"
_SHARD = "pimentoquay/scheduler/tests/test_shard.py::"
_CONFIGURATION = "pimentoquay/configuration/tests/test_part.py::"

SWITCHES = (
    Switch(
        "lease check before each send",
        "pimentoquay.orders.leases:Leases.number_for",
        keep_expired_lease_number,
        _LEASES + "test_paused_holder_that_wakes_has_no_lease",
    ),
    Switch(
        "growing fencing numbers",
        "pimentoquay.orders.claim_fold:ClaimFold.apply_claim",
        same_number_for_all_holders,
        _LEASES + "test_numbers_grow_with_each_holder_and_stay_over_renewals",
    ),
    Switch(
        "hold-off without fencing",
        "pimentoquay.orders.claim_fold:ClaimFold.orders_end",
        return_constant(0.0),
        _LEASES + "test_new_owner_of_engines_without_fencing_waits_for_the_last_possible_order",
    ),
    Switch(
        "deposed holder stops",
        "pimentoquay.orders.leases:Leases._drop_if_superseded",
        return_constant(None),
        _LEASES + "test_deposed_holder_stops_at_its_next_renewal_and_does_not_take_it_back",
    ),
    Switch(
        "places for loading weights",
        "pimentoquay.orders.claim_fold:ClaimFold._used_permits",
        return_constant(0),
        _LEASES + "test_places_for_loading_are_limited_over_all_vms",
    ),
    Switch(
        "key claim folded in log order",
        "pimentoquay.orders.folded_stream:FoldedStream._append",
        apply_append_at_once,
        _KEYS + "test_two_owners_at_once_grant_a_key_once",
    ),
    Switch(
        "lost answer looked for",
        "pimentoquay.orders.folded_stream:FoldedStream._find",
        never_find_lost_append,
        _KEYS + "test_lost_answer_of_an_append_still_grants_the_claim",
    ),
    Switch(
        "outcome names its claim",
        "pimentoquay.orders.key_fold:KeyFold.apply",
        accept_any_outcome,
        _KEYS + "test_outcome_of_a_refused_claim_does_not_free_the_key",
    ),
    Switch(
        "refused claim freed",
        "pimentoquay.orders.key_bucket:KeyBucket._release_abandoned",
        return_constant(None),
        _KEYS + "test_claim_refused_though_the_log_took_it_is_freed_later",
    ),
    Switch(
        "silent peer is dead",
        "pimentoquay.membership.liveness:PeerLiveness.is_alive",
        never_mark_silent_peers_dead,
        _MEMBERSHIP + "test_paused_vm_leaves_the_view_and_comes_back",
    ),
    Switch(
        "next in order reads the list",
        "pimentoquay.membership.reader:ListReader._is_turn",
        disable_reader_takeover,
        _MEMBERSHIP + "test_leaving_is_known_within_3_s_whenever_the_reader_is_paused",
    ),
    Switch(
        "list asked of a peer",
        "pimentoquay.membership.part:MembershipPart._request_list",
        return_constant(None),
        _MEMBERSHIP + "test_data_centre_cut_off_from_the_platform_gets_the_list_from_peers",
    ),
    Switch(
        "leaving is announced",
        "pimentoquay.membership.liveness:PeerLiveness.is_leaving",
        return_constant(False),
        _MEMBERSHIP + "test_drain_moves_ownership_within_a_second_and_waits_for_the_entry",
    ),
    Switch(
        "base version",
        "pimentoquay.configuration.fold:ConfigurationState._decide_outcome",
        accept_every_change,
        "pimentoquay/configuration/tests/test_fold.py::"
        "test_first_change_on_a_base_wins_and_repeats_fold_once",
    ),
    Switch(
        "sweep",
        "pimentoquay.scheduler.sweep:_is_unexplained",
        return_constant(False),
        _SHARD + "test_sweep_cancels_only_old_holdings_that_nobody_reads",
    ),
    Switch(
        "single probe",
        "pimentoquay.policy.circuits:Circuits.state",
        allow_many_probes,
        "pimentoquay/policy/tests/test_circuits.py::test_one_probe_goes_when_the_wait_is_over",
    ),
    Switch(
        "others wait for a scheduler's probe",
        "pimentoquay.scheduler.engines:EngineSet._allows_request",
        allow_all_while_probing,
        _SHARD + "test_one_probe_to_an_engine_that_refused",
    ),
    Switch(
        "lease of an entry",
        "pimentoquay.scheduler.part:SchedulerPart._end_leases",
        return_constant(None),
        _SCHEDULER + "test_silence_ends_a_lease",
    ),
    Switch(
        "end of a lost entry",
        "pimentoquay.scheduler.part:SchedulerPart._end_entry",
        do_nothing_async,
        _SCHEDULER + "test_streams_of_a_lost_entry_are_freed_within_two_seconds",
    ),
    Switch(
        "grace of a new scheduler",
        "pimentoquay.scheduler.shard:ShardScheduler.__init__",
        no_rebuild_grace,
        _SHARD + "test_nothing_is_granted_before_the_rebuild_grace",
    ),
    Switch(
        "configuration passed on in a data centre",
        "pimentoquay.configuration.part:ConfigurationPart._push_to_neighbours",
        return_constant(None),
        _CONFIGURATION + "test_change_is_in_force_everywhere_with_one_reader_for_each_data_centre",
    ),
    Switch(
        "configuration asked of a peer",
        "pimentoquay.configuration.catch_up:CatchUpRequester._run_check",
        return_constant(None),
        _CONFIGURATION + "test_data_centre_cut_off_from_the_log_gets_changes_from_its_peers",
    ),
    Switch(
        "gateways between data centres",
        "pimentoquay.membership.mesh:gateways_between",
        return_constant(()),
        _MEMBERSHIP + "test_partition_and_healing_between_data_centres",
    ),
    Switch(
        "attempt number",
        "pimentoquay.entry.scheduler_link:SchedulerLink._answer",
        match_any_attempt,
        "pimentoquay/entry/tests/test_life.py::test_late_and_crossed_answers_are_dropped",
    ),
    Switch(
        "key claimed before the call",
        "pimentoquay.entry.key_claims:KeyClaims.claim",
        grant_without_owner,
        _ONCE_ONLY + "test_a_key_runs_once_and_a_repetition_is_refused",
    ),
    Switch(
        "call without a key sent once",
        "pimentoquay.entry.plain:PlainService._try_servers",
        retry_every_call,
        _ONCE_ONLY + "test_a_lost_answer_is_outcome_unknown_and_nothing_is_sent_again",
    ),
    Switch(
        "configuration appended anew before it ages out",
        "pimentoquay.configuration.checkpoint_writer:CheckpointWriter._run_check",
        do_nothing_async,
        _CONFIGURATION + "test_retention_passes_and_every_vm_is_replaced_at_once",
    ),
    Switch(
        "signed hello",
        "pimentoquay.transport.handshake:_mac",
        return_constant(b"0" * 32),
        "pimentoquay/transport/tests/test_websocket.py::test_wrong_key_is_rejected_with_its_code",
    ),
    Switch(
        "hysteresis of roles",
        "pimentoquay.policy.roles:RoleBalance.decide",
        no_hysteresis,
        "pimentoquay/policy/tests/test_roles.py::"
        "test_lasting_shift_moves_one_engine_after_the_hold_time",
    ),
    Switch(
        "drain before a change of role",
        "pimentoquay.orders.roles:RoleKeeper.may_order",
        return_constant(True),
        "pimentoquay/bench/tests/test_role_changes.py::"
        "test_a_lasting_shift_of_the_mix_moves_engines_and_cuts_no_stream",
    ),
    Switch(
        "every engine hears the holder's number",
        "pimentoquay.orders.part:OrdersPart._is_reached",
        skip_order_of_new_holder,
        "pimentoquay/orders/tests/test_part.py::"
        "test_new_holder_with_nothing_to_change_shuts_out_the_one_before",
    ),
    Switch(
        "roles on the log",
        "pimentoquay.orders.leases:Leases.role_of",
        return_constant(None),
        "pimentoquay/bench/tests/test_role_changes.py::"
        "test_a_holder_paused_as_it_sends_a_change_leaves_the_roles_right",
    ),
    Switch(
        "engines of a pair run one version",
        "pimentoquay.scheduler.selection:Selector._choose_same_version",
        choose_any_versions,
        "pimentoquay/bench/tests/test_rolling_versions.py::"
        "test_roll_mixes_no_versions_and_costs_no_goodput",
    ),
    Switch(
        "drain before another version",
        "pimentoquay.orders.roles:RoleKeeper.is_idle",
        return_constant(True),
        "pimentoquay/bench/tests/test_rolling_versions.py::"
        "test_roll_mixes_no_versions_and_costs_no_goodput",
    ),
    Switch(
        "load under way is remembered",
        "pimentoquay.orders.sent:SentOrders.is_swapping",
        return_constant(False),
        "pimentoquay/bench/tests/test_rolling_versions.py::"
        "test_roll_back_half_way_mixes_no_versions",
    ),
    *ALLOWANCE_SWITCHES,
    *GATEWAY_SWITCHES,
    *HEAD_SWITCHES,
    *LOAD_SWITCHES,
    *PATH_SWITCHES,
    *SERVICE_SWITCHES,
    *SPEED_SWITCHES,
    *STOP_SWITCHES,
    *CLOSE_SWITCHES,
    *ENTRY_SWITCHES,
    *VM_SWITCHES,
    *STREAM_SWITCHES,
    *LEAVING_SWITCHES,
    *ROOM_SWITCHES,
    *TURN_SWITCHES,
    *WORKSPACE_SWITCHES,
)
"""All mechanisms that can be switched off."""
