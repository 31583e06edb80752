"""What stands in place of a mechanism that is switched off.

Each function takes what the mechanism's name refers to and returns what it shall refer to instead.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.orders.reconcile import is_reached
from pimentoquay.policy import choose

__all__ = [
    "accept_every_change",
    "always",
    "any_attempt_answers",
    "any_outcome_counts",
    "append_without_gap",
    "choose_any",
    "do_nothing_async",
    "every_waiter_probes",
    "find_nothing",
    "first_in_order_only",
    "granted_unasked",
    "heard_once_is_alive",
    "no_hysteresis",
    "no_rebuild_grace",
    "number_without_clock",
    "one_number_for_all",
    "probe_lets_all_through",
    "reached_whoever_holds",
    "repeat_every_call",
]


def always(value: Any) -> Callable[[Any], Any]:
    """Return a replacement that gives ``value`` whatever it is asked."""
    return lambda original: lambda *args, **kwargs: value


def number_without_clock(original: Any) -> Any:
    """Give a lease's number also after its end."""

    def number_for(self: Any, shard: str, checks_fencing: bool) -> int:
        lease = self._lease_by_shard.get(shard)
        return lease.number if lease is not None else 0

    return number_for


def one_number_for_all(original: Any) -> Any:
    """Give every holder the same fencing number."""
    return lambda self, offset, claim, appended_at: original(self, 0, claim, appended_at)


def reached_whoever_holds(original: Any) -> Any:
    """Order nothing of an engine that is as wanted, whoever ordered last."""
    return lambda self, shard, member, status, target: is_reached(status, target)


def choose_any(original: Any) -> Any:
    """Pair engines of different versions."""

    def choose_alike(
        self: Any, need: Any, sources: Any, targets: Any, closed: Any, limits: Any, now: float
    ) -> Any:
        return choose(need, sources, targets, self._speeds, closed, limits, now)

    return choose_alike


def append_without_gap(original: Any) -> Any:
    """Fold an append at once, without the records before it."""
    from pimentoquay.messages import encode

    async def append(self: Any, message: Any) -> int:
        offset = await self._log.append(self._name, encode(message))
        self._fold(offset, message, 0.0)
        return offset

    return append


def find_nothing(original: Any) -> Any:
    """Never find what an append whose answer was lost has written."""
    from pimentoquay.services.base import LogOutcomeUnknownError

    async def find(self: Any, sought: Any) -> int:
        raise LogOutcomeUnknownError("not looked for")

    return find


def any_outcome_counts(original: Any) -> Any:
    """Take an outcome for the claim that holds its key, whichever it names."""

    def apply(self: Any, batch: Any, appended_at: float) -> None:
        outcomes = []
        for outcome in batch.outcomes:
            holder = self.holder_of(outcome.digest)
            claim_id = outcome.claim_id if holder is None else holder.claim_id
            outcomes.append(replace(outcome, claim_id=claim_id))
        original(self, replace(batch, outcomes=tuple(outcomes)), appended_at)

    return apply


def heard_once_is_alive(original: Any) -> Any:
    """Count a VM that was heard once as alive for ever."""
    return lambda self, vm, now: vm in self._heartbeat_by_vm


def first_in_order_only(original: Any) -> Any:
    """Let nobody take over the reading of the list."""
    from pimentoquay.membership.mesh import rendezvous_order

    def is_turn(self: Any) -> bool:
        identity = self._node.identity
        names = {identity.vm, *self._readable_peers()}
        order = rendezvous_order(f"membership-reader:{identity.data_centre}", names)
        return not self._directory.is_known or order[0] == identity.vm

    return is_turn


def accept_every_change(original: Any) -> Any:
    """Accept a change whatever version it is based on."""

    def judge(self: Any, offset: int, record: Any) -> Any:
        outcome = original(self, offset, record)
        return replace(outcome, code=ResultCode.CONFIG_ACCEPTED, version=offset + 1)

    return judge


def every_waiter_probes(original: Any) -> Any:
    """Let every request probe once a probe is due."""
    from pimentoquay.policy.circuits import CircuitState

    def state(self: Any, key: str, now: float) -> Any:
        found = original(self, key, now)
        return CircuitState.PROBE_DUE if found is CircuitState.PROBING else found

    return state


def any_attempt_answers(original: Any) -> Any:
    """Hand an answer to the request whatever attempt it is for."""

    def answer(self: Any, key: tuple[str, int], message: Any, channel: Any) -> None:
        for known in tuple(self._waiter_by_key):
            if known[0] == key[0]:
                original(self, known, message, channel)

    return answer


def no_hysteresis(original: Any) -> Any:
    """Change roles at once, as often as wished."""

    def decide(self: Any, statuses: Any, now: float) -> Any:
        self._limits = replace(self._limits, hold=0.0, dwell=0.0)
        return original(self, statuses, now)

    return decide


def granted_unasked(original: Any) -> Any:
    """Grant a key without asking its owner."""
    from pimentoquay.entry.key_claims import Claim

    async def claim(self: Any, workspace: str, key: str, request_id: str) -> Claim:
        return Claim(key, workspace, request_id, request_id, self._node.identity.vm)

    return claim


def repeat_every_call(original: Any) -> Any:
    """Try a call on another server although it may run once only."""

    async def try_servers(self: Any, target: Any, call: Any) -> Any:
        return await original(self, replace(target, once_only=False), call)

    return try_servers


def probe_lets_all_through(original: Any) -> Any:
    """Let all requests through while a probe is under way."""
    from pimentoquay.policy.circuits import CircuitState

    def is_let_through(self: Any, key: str, now: float) -> bool:
        return self._circuits.state(key, now) is not CircuitState.WAITING

    return is_let_through


def no_rebuild_grace(original: Any) -> Any:
    """Let a new scheduler grant at once."""

    def init(self: Any, shard: Any, section: Any, now: float) -> None:
        original(self, shard, replace(section, rebuild_grace=0.0), now)

    return init


def do_nothing_async(original: Any) -> Any:
    """Return a replacement that does nothing when it is awaited."""

    async def nothing(*args: Any) -> None:
        return None

    return nothing
