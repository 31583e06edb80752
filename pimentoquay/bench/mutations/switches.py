"""The mechanisms that can be switched off, how, and the test that has to notice."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from importlib import import_module
from typing import Any

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.orders.reconcile import is_reached

__all__ = ["SWITCHES", "Switch", "switch_of"]


@dataclass(frozen=True)
class Switch:
    """One mechanism.

    ``target`` is ``module:attribute`` with dots inside a class; ``broken`` makes the replacement
    from what stands there. ``test`` is the pytest node id of the test that has to fail.
    """

    name: str
    target: str
    broken: Callable[[Any], Any]
    test: str

    def turn_off(self) -> None:
        """Replace the mechanism in this process for good."""
        module, _, path = self.target.partition(":")
        owner: Any = import_module(module)
        *outer, attribute = path.split(".")
        for name in outer:
            owner = getattr(owner, name)
        setattr(owner, attribute, self.broken(getattr(owner, attribute)))


def switch_of(name: str) -> Switch:
    """Return a switch by name; ``LookupError`` if there is none."""
    for switch in SWITCHES:
        if switch.name == name:
            return switch
    raise LookupError(f"no switch {name!r}")


def _always(value: Any) -> Callable[[Any], Any]:
    return lambda original: lambda *args, **kwargs: value


def _number_without_clock(original: Any) -> Any:
    def number_for(self: Any, shard: str, checks_fencing: bool) -> int:
        lease = self._lease_by_shard.get(shard)
        return lease.number if lease is not None else 0

    return number_for


def _one_number_for_all(original: Any) -> Any:
    return lambda self, offset, claim, appended_at: original(self, 0, claim, appended_at)


def _reached_whoever_holds(original: Any) -> Any:
    return lambda self, shard, member, status, target: is_reached(status, target)


def _append_without_gap(original: Any) -> Any:
    from pimentoquay.messages import encode

    async def append(self: Any, message: Any) -> int:
        offset = await self._log.append(self._name, encode(message))
        self._fold(offset, message, 0.0)
        return offset

    return append


def _find_nothing(original: Any) -> Any:
    from pimentoquay.platform.base import LogOutcomeUnknownError

    async def find(self: Any, sought: Any) -> int:
        raise LogOutcomeUnknownError("not looked for")

    return find


def _any_outcome_counts(original: Any) -> Any:
    def apply(self: Any, batch: Any, appended_at: float) -> None:
        outcomes = []
        for outcome in batch.outcomes:
            holder = self.holder_of(outcome.digest)
            claim_id = outcome.claim_id if holder is None else holder.claim_id
            outcomes.append(replace(outcome, claim_id=claim_id))
        original(self, replace(batch, outcomes=tuple(outcomes)), appended_at)

    return apply


def _heard_once_is_alive(original: Any) -> Any:
    return lambda self, vm, now: vm in self._heard_by_vm


def _first_in_order_only(original: Any) -> Any:
    from pimentoquay.membership.mesh import ranked

    def is_turn(self: Any) -> bool:
        identity = self._node.identity
        names = {identity.vm, *self._readable_peers()}
        order = ranked(f"membership-reader:{identity.data_centre}", names)
        return not self._directory.is_known or order[0] == identity.vm

    return is_turn


def _accept_every_change(original: Any) -> Any:
    def judge(self: Any, offset: int, record: Any) -> Any:
        outcome = original(self, offset, record)
        return replace(outcome, code=ResultCode.CONFIG_ACCEPTED, version=offset + 1)

    return judge


def _every_waiter_probes(original: Any) -> Any:
    from pimentoquay.policy.circuits import CircuitState

    def state(self: Any, key: str, now: float) -> Any:
        found = original(self, key, now)
        return CircuitState.PROBE_DUE if found is CircuitState.PROBING else found

    return state


def _any_attempt_answers(original: Any) -> Any:
    def answer(self: Any, key: tuple[str, int], message: Any, channel: Any) -> None:
        for known in tuple(self._waiter_by_key):
            if known[0] == key[0]:
                original(self, known, message, channel)

    return answer


def _no_hysteresis(original: Any) -> Any:
    def decide(self: Any, statuses: Any, now: float) -> Any:
        self._limits = replace(self._limits, hold=0.0, dwell=0.0)
        return original(self, statuses, now)

    return decide


def _granted_unasked(original: Any) -> Any:
    from pimentoquay.entry.key_claims import Claim

    async def claim(self: Any, workspace: str, key: str, request_id: str) -> Claim:
        return Claim(key, workspace, request_id, request_id, self._node.identity.vm)

    return claim


def _repeat_every_call(original: Any) -> Any:
    async def try_servers(self: Any, target: Any, call: Any) -> Any:
        return await original(self, replace(target, once_only=False), call)

    return try_servers


def _probe_lets_all_through(original: Any) -> Any:
    from pimentoquay.policy.circuits import CircuitState

    def is_let_through(self: Any, key: str, now: float) -> bool:
        return self._circuits.state(key, now) is not CircuitState.WAITING

    return is_let_through


def _no_rebuild_grace(original: Any) -> Any:
    def init(self: Any, shard: Any, section: Any, now: float) -> None:
        original(self, shard, replace(section, rebuild_grace=0.0), now)

    return init


def _do_nothing_async(original: Any) -> Any:
    async def nothing(*args: Any) -> None:
        return None

    return nothing


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
        _number_without_clock,
        _LEASES + "test_paused_holder_that_wakes_has_no_lease",
    ),
    Switch(
        "growing fencing numbers",
        "pimentoquay.orders.claim_fold:ClaimFold.apply_claim",
        _one_number_for_all,
        _LEASES + "test_numbers_grow_with_each_holder_and_stay_over_renewals",
    ),
    Switch(
        "hold-off without fencing",
        "pimentoquay.orders.claim_fold:ClaimFold.orders_end",
        _always(0.0),
        _LEASES + "test_new_owner_of_engines_without_fencing_waits_for_the_last_possible_order",
    ),
    Switch(
        "deposed holder stops",
        "pimentoquay.orders.leases:Leases._drop_if_superseded",
        _always(None),
        _LEASES + "test_deposed_holder_stops_at_its_next_renewal_and_does_not_take_it_back",
    ),
    Switch(
        "places for loading weights",
        "pimentoquay.orders.claim_fold:ClaimFold._taken",
        _always(0),
        _LEASES + "test_places_for_loading_are_limited_over_all_vms",
    ),
    Switch(
        "key claim folded in log order",
        "pimentoquay.orders.folded_stream:FoldedStream._append",
        _append_without_gap,
        _KEYS + "test_two_owners_at_once_grant_a_key_once",
    ),
    Switch(
        "lost answer looked for",
        "pimentoquay.orders.folded_stream:FoldedStream._find",
        _find_nothing,
        _KEYS + "test_lost_answer_of_an_append_still_grants_the_claim",
    ),
    Switch(
        "outcome names its claim",
        "pimentoquay.orders.key_fold:KeyFold.apply",
        _any_outcome_counts,
        _KEYS + "test_outcome_of_a_refused_claim_does_not_free_the_key",
    ),
    Switch(
        "refused claim freed",
        "pimentoquay.orders.key_bucket:KeyBucket._release_abandoned",
        _always(None),
        _KEYS + "test_claim_refused_though_the_log_took_it_is_freed_later",
    ),
    Switch(
        "silent peer is dead",
        "pimentoquay.membership.liveness:PeerLiveness.is_alive",
        _heard_once_is_alive,
        _MEMBERSHIP + "test_paused_vm_leaves_the_view_and_comes_back",
    ),
    Switch(
        "next in order reads the list",
        "pimentoquay.membership.reader:ListReader._is_turn",
        _first_in_order_only,
        _MEMBERSHIP + "test_leaving_is_known_within_3_s_whenever_the_reader_is_paused",
    ),
    Switch(
        "list asked of a peer",
        "pimentoquay.membership.part:MembershipPart._request_list",
        _always(None),
        _MEMBERSHIP + "test_data_centre_cut_off_from_the_platform_gets_the_list_from_peers",
    ),
    Switch(
        "leaving is announced",
        "pimentoquay.membership.liveness:PeerLiveness.is_leaving",
        _always(False),
        _MEMBERSHIP + "test_drain_moves_ownership_within_a_second_and_waits_for_the_entry",
    ),
    Switch(
        "base version",
        "pimentoquay.configuration.fold:ConfigurationState._judge",
        _accept_every_change,
        "pimentoquay/configuration/tests/test_fold.py::"
        "test_first_change_on_a_base_wins_and_repeats_fold_once",
    ),
    Switch(
        "sweep",
        "pimentoquay.scheduler.sweep:_is_unexplained",
        _always(False),
        _SHARD + "test_sweep_cancels_only_old_holdings_that_nobody_reads",
    ),
    Switch(
        "single probe",
        "pimentoquay.policy.circuits:Circuits.state",
        _every_waiter_probes,
        "pimentoquay/policy/tests/test_circuits.py::test_one_probe_goes_when_the_wait_is_over",
    ),
    Switch(
        "others wait for a scheduler's probe",
        "pimentoquay.scheduler.engines:EngineSet._is_let_through",
        _probe_lets_all_through,
        _SHARD + "test_one_probe_to_an_engine_that_refused",
    ),
    Switch(
        "lease of an entry",
        "pimentoquay.scheduler.part:SchedulerPart._end_leases",
        _always(None),
        _SCHEDULER + "test_silence_ends_a_lease",
    ),
    Switch(
        "end of a lost entry",
        "pimentoquay.scheduler.part:SchedulerPart._end_entry",
        _do_nothing_async,
        _SCHEDULER + "test_streams_of_a_lost_entry_are_freed_within_two_seconds",
    ),
    Switch(
        "grace of a new scheduler",
        "pimentoquay.scheduler.shard:ShardScheduler.__init__",
        _no_rebuild_grace,
        _SHARD + "test_nothing_is_granted_before_the_rebuild_grace",
    ),
    Switch(
        "configuration passed on in a data centre",
        "pimentoquay.configuration.part:ConfigurationPart._push_to_neighbours",
        _always(None),
        _CONFIGURATION + "test_change_is_in_force_everywhere_with_one_reader_for_each_data_centre",
    ),
    Switch(
        "configuration asked of a peer",
        "pimentoquay.configuration.chase:Chaser._look",
        _always(None),
        _CONFIGURATION + "test_data_centre_cut_off_from_the_log_is_told_by_its_peers",
    ),
    Switch(
        "gateways between data centres",
        "pimentoquay.membership.mesh:gateways_between",
        _always(()),
        _MEMBERSHIP + "test_partition_and_healing_between_data_centres",
    ),
    Switch(
        "attempt number",
        "pimentoquay.entry.scheduler_link:SchedulerLink._answer",
        _any_attempt_answers,
        "pimentoquay/entry/tests/test_life.py::test_late_and_crossed_answers_are_dropped",
    ),
    Switch(
        "key claimed before the call",
        "pimentoquay.entry.key_claims:KeyClaims.claim",
        _granted_unasked,
        _ONCE_ONLY + "test_a_key_runs_once_and_a_repetition_learns_so",
    ),
    Switch(
        "call without a key sent once",
        "pimentoquay.entry.plain:PlainService._try_servers",
        _repeat_every_call,
        _ONCE_ONLY + "test_a_lost_answer_is_outcome_unknown_and_nothing_is_sent_again",
    ),
    Switch(
        "configuration appended anew before it ages out",
        "pimentoquay.configuration.checkpoint_writer:CheckpointWriter._look",
        _do_nothing_async,
        _CONFIGURATION + "test_retention_passes_and_every_vm_is_replaced_at_once",
    ),
    Switch(
        "signed hello",
        "pimentoquay.transport.handshake:_mac",
        _always(b"0" * 32),
        "pimentoquay/transport/tests/test_websocket.py::test_wrong_key_is_refused_by_number",
    ),
    Switch(
        "hysteresis of roles",
        "pimentoquay.policy.roles:RoleBalance.decide",
        _no_hysteresis,
        "pimentoquay/policy/tests/test_roles.py::"
        "test_lasting_shift_moves_one_engine_after_the_hold_time",
    ),
    Switch(
        "drain before a change of role",
        "pimentoquay.orders.roles:RoleKeeper.may_order",
        _always(True),
        "pimentoquay/bench/tests/test_role_changes.py::"
        "test_a_lasting_shift_of_the_mix_moves_engines_and_cuts_no_stream",
    ),
    Switch(
        "every engine hears the holder's number",
        "pimentoquay.orders.part:OrdersPart._is_reached",
        _reached_whoever_holds,
        "pimentoquay/bench/tests/test_role_changes.py::"
        "test_a_holder_paused_as_it_sends_a_change_leaves_the_roles_right",
    ),
    Switch(
        "roles on the log",
        "pimentoquay.orders.leases:Leases.role_of",
        _always(None),
        "pimentoquay/bench/tests/test_role_changes.py::"
        "test_a_holder_paused_as_it_sends_a_change_leaves_the_roles_right",
    ),
)
"""Every mechanism that is checked."""
