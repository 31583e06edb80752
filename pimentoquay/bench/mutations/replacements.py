"""Replacements for the mechanisms that are switched off.

Each function takes the original function or method of a mechanism and returns a replacement that
lacks the mechanism.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.orders.reconcile import is_reached
from pimentoquay.policy import choose
from pimentoquay.policy.stream_admission import QueuedTokens

__all__ = [
    "accept_any_outcome",
    "accept_every_change",
    "allow_all_while_probing",
    "allow_many_probes",
    "apply_append_at_once",
    "choose_any_versions",
    "count_all_as_ahead",
    "connect_unchecked",
    "disable_reader_takeover",
    "do_nothing_async",
    "find_server_refusing",
    "grant_without_owner",
    "ignore_continuation",
    "keep_expired_lease_number",
    "keep_role_while_cut_off",
    "learn_as_seen_now",
    "lose_place_of_first_attempt",
    "match_any_attempt",
    "never_find_lost_append",
    "never_mark_silent_peers_dead",
    "no_hysteresis",
    "no_rebuild_grace",
    "read_body_without_limit",
    "read_one_page",
    "refuse_all_tunnels",
    "retry_every_call",
    "return_constant",
    "return_to_path_at_once",
    "use_no_path_before_its_time",
    "same_number_for_all_holders",
    "skip_order_of_new_holder",
    "turn_late_like_new_streams",
    "use_whole_limit",
    "wait_behind_all",
    "wait_for_any_version",
    "yield_to_all_streams",
]


def return_constant(value: Any) -> Callable[[Any], Any]:
    """Return a factory of a replacement that returns ``value`` for any arguments."""
    return lambda original: lambda *args, **kwargs: value


def connect_unchecked(original: Any) -> Any:
    """Raise whatever an event loop raises for an address."""

    async def connect(factory: Any, host: str, port: int) -> Any:
        return await asyncio.get_running_loop().create_connection(factory, host, port)

    return connect


def read_one_page(original: Any) -> Any:
    """Read one page of a topic, wherever its end is."""

    async def read_on(self: Any, topic: str, position: int) -> None:
        page = await self._store.read(topic, position, 0.0)
        self._handler_by_topic[topic](page.records, page.next_position, False)
        self._next_by_topic[topic] = page.next_position

    return read_on


def refuse_all_tunnels(original: Any) -> Any:
    """Open no connection through a peer."""

    async def open_none(self: Any, target: Any, factory: Any) -> Any:
        raise ConnectionResetError(f"no peer reaches {target.engine}")

    return open_none


def return_to_path_at_once(original: Any) -> Any:
    """Use a path again as soon as one probe has succeeded."""

    def record_probe(self: Any, engine: str, has_worked: bool, now: float) -> bool:
        return has_worked and self._path_by_engine.pop(engine, None) is not None

    return record_probe


def use_no_path_before_its_time(original: Any) -> Any:
    """Take a cut path for lost until it is used again for all requests."""
    return lambda self, engine: self.is_cut(engine)


def keep_role_while_cut_off(original: Any) -> Any:
    """Let the first VM send orders, whether it reaches the engines or not."""
    return lambda state_by_vm: min(state_by_vm)


def ignore_continuation(original: Any) -> Any:
    """Let a stream that is taken up be due since its first attempt."""
    return lambda arrived_at, first_sent_at, has_begun, *rest: original(
        arrived_at, first_sent_at, False, *rest
    )


def turn_late_like_new_streams(original: Any) -> Any:
    """Let a stream that is taken up turn late when its first event is."""

    def stream_times(arrived_at: float, first_sent_at: float, has_begun: bool, *rest: float) -> Any:
        times = original(arrived_at, first_sent_at, has_begun, *rest)
        return replace(times, late_at=arrived_at + rest[0]) if has_begun else times

    return stream_times


def count_all_as_ahead(original: Any) -> Any:
    """Let what waits for other engines delay a stream too."""

    def all_ahead(waiting: Any, software: str, *rest: Any) -> Any:
        streams = [replace(each, software="") for each in waiting]
        return original(streams, "", *rest)

    return all_ahead


def yield_to_all_streams(original: Any) -> Any:
    """Tell other VMs that all streams which can be in time are to be served first."""

    def queued(self: Any, now: float) -> QueuedTokens:
        urgent = sum(each.tokens for each in self if self._is_urgent(each, now))
        return replace(original(self, now), urgent_tokens=urgent)

    return queued


def lose_place_of_first_attempt(original: Any) -> Any:
    """Let the place of a stream that goes on depend on its present attempt."""
    return lambda arrived_at, first_sent_at, *rest: original(arrived_at, arrived_at, *rest)


def keep_expired_lease_number(original: Any) -> Any:
    """Return the fencing number of a lease even after the lease has expired."""

    def number_for(self: Any, shard: str, checks_fencing: bool) -> int:
        lease = self._lease_by_shard.get(shard)
        return lease.number if lease is not None else 0

    return number_for


def same_number_for_all_holders(original: Any) -> Any:
    """Give every holder the same fencing number."""
    return lambda self, offset, claim, appended_at: original(self, 0, claim, appended_at)


def skip_order_of_new_holder(original: Any) -> Any:
    """Send no order to an engine in its target state, even if the holder is a new one."""
    return lambda self, shard, member, status, target: is_reached(status, target)


def choose_any_versions(original: Any) -> Any:
    """Allow a prefill and a decode engine of different versions as a pair."""

    def choose_ignoring_version(
        self: Any, need: Any, sources: Any, targets: Any, closed: Any, limits: Any, now: float
    ) -> Any:
        return choose(need, sources, targets, self._speeds, closed, limits, now)

    return choose_ignoring_version


def apply_append_at_once(original: Any) -> Any:
    """Apply an append at once, without first reading the records before it."""
    from pimentoquay.messages import encode

    async def append(self: Any, message: Any) -> int:
        offset = await self._log.append(self._name, encode(message))
        self._fold(offset, message, 0.0)
        return offset

    return append


def never_find_lost_append(original: Any) -> Any:
    """Never find the record of an append whose response was lost."""
    from pimentoquay.services.base import LogOutcomeUnknownError

    async def find(self: Any, sought: Any) -> int:
        raise LogOutcomeUnknownError("not looked for")

    return find


def accept_any_outcome(original: Any) -> Any:
    """Apply an outcome to the current holder of its key, even if it names another claim."""

    def apply(self: Any, batch: Any, appended_at: float) -> None:
        outcomes = []
        for outcome in batch.outcomes:
            holder = self.holder_of(outcome.digest)
            claim_id = outcome.claim_id if holder is None else holder.claim_id
            outcomes.append(replace(outcome, claim_id=claim_id))
        original(self, replace(batch, outcomes=tuple(outcomes)), appended_at)

    return apply


def never_mark_silent_peers_dead(original: Any) -> Any:
    """Regard a VM as alive permanently after its first heartbeat."""
    return lambda self, vm, now: vm in self._heartbeat_by_vm


def disable_reader_takeover(original: Any) -> Any:
    """Let only the first VM in order read the membership list, even if it has stopped."""
    from pimentoquay.membership.mesh import rendezvous_order

    def is_turn(self: Any) -> bool:
        identity = self._node.identity
        names = {identity.vm, *self._readable_peers()}
        order = rendezvous_order(f"membership-reader:{identity.data_centre}", names)
        return not self._directory.is_known or order[0] == identity.vm

    return is_turn


def accept_every_change(original: Any) -> Any:
    """Accept a change even if it is not based on the current version."""

    def decide_outcome(self: Any, offset: int, record: Any) -> Any:
        outcome = original(self, offset, record)
        return replace(outcome, code=ResultCode.CONFIG_ACCEPTED, version=offset + 1)

    return decide_outcome


def allow_many_probes(original: Any) -> Any:
    """Let every request be a probe once a probe is due, instead of only one."""
    from pimentoquay.policy.circuits import CircuitState

    def state(self: Any, key: str, now: float) -> Any:
        found = original(self, key, now)
        return CircuitState.PROBE_DUE if found is CircuitState.PROBING else found

    return state


def match_any_attempt(original: Any) -> Any:
    """Accept an answer for a request even if it is for another attempt."""

    def answer(self: Any, key: tuple[str, int], message: Any, channel: Any) -> None:
        for known in tuple(self._waiter_by_key):
            if known[0] == key[0]:
                original(self, known, message, channel)

    return answer


def no_hysteresis(original: Any) -> Any:
    """Change roles without hold time or minimum dwell time."""

    def decide(self: Any, statuses: Any, now: float) -> Any:
        self._limits = replace(self._limits, hold=0.0, dwell=0.0)
        return original(self, statuses, now)

    return decide


def grant_without_owner(original: Any) -> Any:
    """Grant an idempotency key without a request to the VM that owns it."""
    from pimentoquay.entry.key_claims import Claim

    async def claim(self: Any, workspace: str, key: str, request_id: str) -> Claim:
        return Claim(key, workspace, request_id, request_id, self._node.identity.vm)

    return claim


def retry_every_call(original: Any) -> Any:
    """Retry a call on another server even if it must not run twice."""

    async def try_servers(self: Any, target: Any, call: Any) -> Any:
        return await original(self, replace(target, once_only=False), call)

    return try_servers


def allow_all_while_probing(original: Any) -> Any:
    """Allow all requests to an engine while a probe to it is in progress."""
    from pimentoquay.policy.circuits import CircuitState

    def allow_all(self: Any, key: str, now: float) -> bool:
        return self._circuits.state(key, now) is not CircuitState.WAITING

    return allow_all


def no_rebuild_grace(original: Any) -> Any:
    """Let a new scheduler grant requests without waiting for the rebuild grace."""

    def init_without_grace(self: Any, shard: Any, section: Any, now: float) -> None:
        original(self, shard, replace(section, rebuild_grace=0.0), now)

    return init_without_grace


def do_nothing_async(original: Any) -> Any:
    """Return a replacement that does nothing when it is awaited."""

    async def do_nothing(*args: Any) -> None:
        return None

    return do_nothing


def read_body_without_limit(original: Any) -> Any:
    """Return a replacement that reads bodies of any size."""

    async def read_body(self: Any, max_bytes: int, seconds: float | None = None) -> bytes:
        return await original(self, 2**40, seconds)

    return read_body


def find_server_refusing(original: Any) -> Any:
    """Return a replacement that finds every server refusing connections."""

    async def check_server(self: Any) -> Any:
        from pimentoquay.http1 import ServerState

        return ServerState.REFUSING

    return check_server


def use_whole_limit(original: Any) -> Any:
    """Return a replacement that gives each VM the whole limit of an engine."""
    return lambda limit, engine, own, vms: original(limit, engine, own, (own,))


def learn_as_seen_now(original: Any) -> Any:
    """Return a replacement that takes every notice of a limit for one of just now."""

    def learn(self: Any, notices: Any, now: float) -> Any:
        return original(self, [replace(notice, age=0.0) for notice in notices], now)

    return learn


def wait_behind_all(original: Any) -> Any:
    """Let each stream wait for all others that wait."""
    return lambda self, waiter, now: [each for each in self if each is not waiter]


def wait_for_any_version(original: Any) -> Any:
    """Let streams that go on wait for the engines of all versions."""

    def wait(need: Any, times: Any, software: str, avoided: Any) -> Any:
        return original(need, times, "", avoided)

    return wait
