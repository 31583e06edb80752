"""Asks of one gateway for units of allowances, and which granter they are sent to.

Load pattern: requests of any workspaces at any gateway; most come some time after the last one.

Failure pattern: the granter is silent, or another VM has become it. An ask is sent to the VM that
granted last, then to the VMs in the order that decides who is the granter; those that did not reply
lately come last. Each of them keeps it until its sender's patience ends and grants it if it becomes
the granter meanwhile, so an ask doesn't have to be timed. Units that a second VM grants go back.
"""

import heapq
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace

from pimentoquay.messages.allowances import (
    AllowanceAsk,
    AllowanceOutcome,
    AllowanceReply,
    AllowanceReturned,
)
from pimentoquay.policy.allowance_leases import workspace_rank
from pimentoquay.policy.allowances import Outgoing
from pimentoquay.policy.workspaces import Allowance

__all__ = ["AllowanceHolder", "Decision"]

REPEAT_SECONDS = 0.25
"""Interval at which an ask is sent again, and to more VMs; most replies come within 0.1 s."""

QUEUED_REPEAT_SECONDS = 0.4
"""Interval if the granter has said that the ask waits there."""

SILENT_SECONDS = 0.5
"""Time without a reply after which a granter is asked only after others."""

SUSPECTED_SECONDS = 10.0
"""Time after which a silent granter is tried again first."""

OLD_BUILDS_SECONDS = 1.0
"""Silence after which VMs that are heard are taken for builds that don't count allowances. Replies
take up to 0.2 s, and a request with a short deadline waits for less."""

MAX_ASKED = 6
"""VMs that an ask is sent to at most; if half of all are cut off, 2 of 100 asks reach none."""

MAX_GRANT_AGE_SECONDS = 0.9
"""Longest time between a grant and its use, which covers a reply that was lost. It shifts use into
a later window by as much at most; a process that was suspended drops its grants."""

MAX_LOCAL_REFUSAL_SECONDS = 0.2
"""Longest time for which requests are refused without asking after the granter has refused one."""

IDLE_SECONDS = 60.0
"""Time without requests after which nothing is kept for a workspace."""


@dataclass(frozen=True)
class Decision:
    """Decision on one ask; ``seconds`` is the time to retry after if it is refused.

    ``granter`` is empty if no VM has decided. ``is_counted`` is whether an allowance was found used
    up, rather than no granter found; ``asked`` holds the VMs that were asked in that case.
    """

    number: int
    is_granted: bool
    seconds: float = 0.0
    granter: str = ""
    session: int = 0
    is_counted: bool = True
    asked: tuple[str, ...] = ()


ENDED_SECONDS = 10.0
"""Time for which ended asks are known, so that units granted by a second VM are given back. It may
have been suspended meanwhile."""


@dataclass
class _Ask:
    """An ask. ``asked`` holds the VMs that it was sent to, and whether they have replied.

    ``id`` is its first number; it gets another one if a grant came too late to be used.
    ``rounds`` counts its repetitions. ``settled`` holds the VMs whose units were used or given
    back.
    """

    id: int
    ask: AllowanceAsk
    asked_at: float
    repeat_at: float
    rounds: int = 0
    asked: dict[str, bool] = field(default_factory=dict)
    settled: set[str] = field(default_factory=set)

    def age(self, reply: AllowanceReply, now: float) -> float:
        """Return the time since the units of a reply were granted, with that of the ask's way."""
        return now - self.asked_at - reply.seconds


@dataclass
class _Known:
    """What is known of a workspace with requests here; ``order`` is empty until it is needed.

    Requests are refused without asking until ``refused_until``; ``retry_at`` is the time at which
    the granter said that one can be served.
    """

    used_at: float
    order: list[str] = field(default_factory=list)
    granter: str = ""
    refused_until: float = 0.0
    retry_at: float = 0.0
    refused_units: float = 0.0


class AllowanceHolder:
    """Asks that wait for a decision, and the granters of workspaces.

    Parameters
    ----------
    first_number
        Number of the first ask, which no earlier start of this gateway has used lately.
    """

    def __init__(self, first_number: int) -> None:
        self._number = first_number
        self._ask_by_number: dict[int, _Ask] = {}
        self._ended_by_number: dict[int, _Ask] = {}
        self._known_by_workspace: dict[str, _Known] = {}
        self._unanswered_since_by_vm: dict[str, float] = {}
        self._granters: frozenset[str] = frozenset()
        self._replied: set[str] = set()
        self._retry_step = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether any ask waits for a decision."""
        return bool(self._ask_by_number)

    @property
    def known_workspaces(self) -> int:
        """Number of workspaces of which something is kept."""
        return len(self._known_by_workspace)

    def runs_among_old_builds(
        self, own: str, asked: Collection[str], is_heard: Callable[[str], bool], now: float
    ) -> bool:
        """Return whether the VMs that an ask was sent to are heard and yet have never replied.

        They run a build that doesn't count allowances, so there is nobody to ask.
        """
        others = [vm for vm in asked if vm != own]
        if not others or self._replied & (self._granters - {own}):
            return False
        return all(
            now - self._unanswered_since_by_vm.get(vm, now) >= OLD_BUILDS_SECONDS and is_heard(vm)
            for vm in others
        )

    def update_granters(self, granters: Collection[str]) -> None:
        """Use other VMs as granters."""
        if granters != self._granters:
            self._granters = frozenset(granters)
            # Orders are made when they are next needed: 8,500 at once take 0.8 s.
            for known in self._known_by_workspace.values():
                known.order = []

    def refusal(self, workspace: str, units: float, now: float) -> float | None:
        """Return the time to retry after if the granter has just refused as much, else None."""
        known = self._known_by_workspace.get(workspace)
        if known is None or now >= known.refused_until or units < known.refused_units:
            return None
        # Multiples of the golden ratio spread the callers evenly.
        self._retry_step = (self._retry_step + 0.618034) % 1.0
        return known.retry_at - now + self._retry_step

    def ask(
        self,
        workspace: str,
        version: int,
        allowance: Allowance,
        units: float,
        patience: float,
        now: float,
    ) -> tuple[int, list[Outgoing]]:
        """Begin to ask for the units of a request; return its number and what is to be sent."""
        known = self._known_by_workspace.get(workspace)
        if known is None:
            known = self._known_by_workspace[workspace] = _Known(now)
        known.used_at = now
        self._number += 1
        message = AllowanceAsk(
            self._number,
            workspace,
            version,
            allowance.per_second,
            allowance.burst,
            units,
            patience,
            0.0,
        )
        entry = self._ask_by_number[self._number] = _Ask(
            self._number, message, now, now + REPEAT_SECONDS
        )
        return self._number, self._ask_more(entry, 1, now)

    def cancel(self, number: int, now: float) -> list[Outgoing]:
        """End an ask whose request has ended; a grant that comes is given back."""
        for current, entry in self._ask_by_number.items():
            if entry.id == number:
                return self._end(current, "", now)
        return []

    def receive(
        self, source: str, reply: AllowanceReply, now: float
    ) -> tuple[Decision | None, list[Outgoing]]:
        """Return the decision that a reply brings, and what is to be sent."""
        self._unanswered_since_by_vm.pop(source, None)
        self._replied.add(source)
        number, outcome = reply.number, reply.outcome
        entry = self._ask_by_number.get(number)
        if entry is None:
            ended = self._ended_by_number.get(number)
            is_grant = ended is not None and outcome is AllowanceOutcome.GRANTED
            return None, self._give_back(ended, source, reply, now) if ended and is_grant else []
        entry.asked[source] = True
        known = self._known_by_workspace.get(entry.ask.workspace)
        if outcome is AllowanceOutcome.QUEUED:
            entry.repeat_at = now + QUEUED_REPEAT_SECONDS
            return None, []
        if outcome is AllowanceOutcome.NOT_GRANTER:
            if known is not None and known.granter == source:
                known.granter = ""
            entry.repeat_at = min(entry.repeat_at, now + REPEAT_SECONDS)
            is_last_asked = next(reversed(entry.asked)) == source
            return None, self._ask_more(entry, 1, now) if is_last_asked else []
        if known is not None:
            known.granter = source
        if outcome is AllowanceOutcome.GRANTED:
            sent = self._end(number, source, now)
            if entry.age(reply, now) > MAX_GRANT_AGE_SECONDS:
                sent += self._give_back(entry, source, reply, now)
                return None, [*sent, *self._ask_anew(entry, now)]
            entry.settled.add(source)
            return Decision(entry.id, True, 0.0, source, reply.session), sent
        sent = self._end(number, source, now)
        if known is not None and reply.seconds > 0:
            known.refused_until = now + min(reply.seconds, MAX_LOCAL_REFUSAL_SECONDS)
            known.retry_at = now + reply.seconds
            known.refused_units = entry.ask.units
        return Decision(entry.id, False, reply.seconds, source, reply.session), sent

    def tick(self, now: float) -> tuple[list[Decision], list[Outgoing]]:
        """Return the asks that nobody has decided in time, and what is to be sent again."""
        decisions, sent = [], []
        for number, entry in tuple(self._ask_by_number.items()):
            if now - entry.asked_at >= entry.ask.patience:
                sent += self._end(number, "", now)
                asked = tuple(entry.asked)
                decisions.append(Decision(entry.id, False, REPEAT_SECONDS, "", 0, False, asked))
            elif now >= entry.repeat_at:
                sent += self._repeat(entry, now)
        return decisions, sent

    def forget_idle(self, now: float) -> None:
        """Drop what is known of workspaces without requests, and of granters long silent."""
        for workspace, known in tuple(self._known_by_workspace.items()):
            if now - known.used_at > IDLE_SECONDS:
                del self._known_by_workspace[workspace]
        for vm, since in tuple(self._unanswered_since_by_vm.items()):
            if now - since > SUSPECTED_SECONDS:
                del self._unanswered_since_by_vm[vm]
        for number, entry in tuple(self._ended_by_number.items()):
            if now - entry.asked_at > ENDED_SECONDS:
                del self._ended_by_number[number]

    def _end(self, number: int, granter: str, now: float) -> list[Outgoing]:
        """End an ask, and tell the VMs that may still keep it."""
        entry = self._ended_by_number[number] = self._ask_by_number.pop(number)
        workspace, age = entry.ask.workspace, now - entry.asked_at
        cancelled = AllowanceReturned(number, workspace, 0, 0.0, age)
        return [Outgoing(vm, cancelled) for vm in entry.asked if vm != granter]

    def _ask_anew(self, entry: _Ask, now: float) -> list[Outgoing]:
        """Ask once more, as a new ask of the same request."""
        self._number += 1
        ask = replace(entry.ask, number=self._number)
        anew = self._ask_by_number[self._number] = _Ask(
            entry.id, ask, entry.asked_at, now + REPEAT_SECONDS
        )
        return self._ask_more(anew, 1, now)

    def _give_back(
        self, entry: _Ask, source: str, reply: AllowanceReply, now: float
    ) -> list[Outgoing]:
        if source in entry.settled:
            return []
        entry.settled.add(source)
        ask, age = entry.ask, entry.age(reply, now)
        returned = AllowanceReturned(ask.number, ask.workspace, reply.session, ask.units, age)
        return [Outgoing(source, returned)]

    def _repeat(self, entry: _Ask, now: float) -> list[Outgoing]:
        """Send an ask to more and more VMs, and once more to those that have not replied."""
        entry.repeat_at = now + REPEAT_SECONDS
        entry.rounds += 1
        silent = [vm for vm, has_replied in entry.asked.items() if not has_replied]
        more = self._ask_more(entry, 2**entry.rounds, now)
        # Where all have replied, a grant may have been lost.
        again = silent if more else list(entry.asked)
        ask = replace(entry.ask, waited=now - entry.asked_at)
        return [*(Outgoing(vm, ask) for vm in again), *more]

    def _ask_more(self, entry: _Ask, count: int, now: float) -> list[Outgoing]:
        """Send an ask to the next VMs that it was not sent to."""
        known = self._known_by_workspace.get(entry.ask.workspace)
        order = known.order if known is not None else []
        if not order:
            order = self._order(entry.ask.workspace)
            if known is not None:
                known.order = order
        if known is not None and known.granter in self._granters:
            order = [known.granter, *(vm for vm in order if vm != known.granter)]
        untried = [vm for vm in order if vm not in entry.asked]
        targets = sorted(untried, key=lambda vm: self._is_silent(vm, now))[:count]
        for vm in targets:
            entry.asked[vm] = False
            self._unanswered_since_by_vm.setdefault(vm, now)
        ask = replace(entry.ask, waited=now - entry.asked_at)
        return [Outgoing(vm, ask) for vm in targets]

    def _is_silent(self, vm: str, now: float) -> bool:
        since = self._unanswered_since_by_vm.get(vm)
        return since is not None and now - since > SILENT_SECONDS

    def _order(self, workspace: str) -> list[str]:
        return heapq.nsmallest(
            MAX_ASKED, self._granters, key=lambda vm: workspace_rank(workspace, vm)
        )
