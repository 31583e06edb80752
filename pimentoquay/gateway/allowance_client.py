"""Client of the granters of allowances: takes units for requests before they are forwarded."""

import asyncio
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.elapsed_time import ElapsedTime
from pimentoquay.gateway.job import Job
from pimentoquay.kernel import Node, RefusedError, ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.timers import Subscription
from pimentoquay.messages.allowances import AllowanceReply, AllowanceReturned
from pimentoquay.policy.allowance_holder import AllowanceHolder, Decision
from pimentoquay.policy.allowance_leases import Members
from pimentoquay.policy.allowances import Outgoing

__all__ = ["AllowanceTicket", "Allowances"]

MAX_WAIT_SECONDS = 2.0
"""Longest wait for units. Usually it is one round trip; after a failure of the granter another one
grants within 1.3 s, and it earns at first what was asked for meanwhile."""

MAX_WAIT_SHARE = 0.5
"""Share of the time that a request has left that it may wait for units."""

UNCOUNTED_SECONDS = 5.0
"""Time for which requests are not counted once nobody was found who could count them."""

TICK_SECONDS = 0.05
"""Interval at which asks are checked while any waits."""

IDLE_TICK_SECONDS = 5.0
"""Interval at which idle workspaces are forgotten."""


class AllowanceTicket:
    """Units that a request has taken, none if it has no allowance.

    Parameters
    ----------
    on_give_back
        Called the first time that the units are given back, or None if there are none.
    """

    def __init__(self, on_give_back: Callable[[], None] | None = None) -> None:
        self._on_give_back = on_give_back

    def give_back(self) -> None:
        """Return the units, as the request provably ran at no engine."""
        on_give_back, self._on_give_back = self._on_give_back, None
        if on_give_back is not None:
            on_give_back()


class Allowances:
    """Takes units of the allowances of workspaces.

    Parameters
    ----------
    node, elapsed
        The process, and the time that also passes while it is suspended.
    members
        VMs that may grant.
    is_heard
        Returns whether a VM is heard, directly or as a relay.
    version
        Returns the version of the configuration in force.
    record_need
        Called for each request with an allowance.
    send_to
        Sends a message to a VM.
    """

    def __init__(
        self,
        node: Node,
        elapsed: ElapsedTime,
        members: Members,
        is_heard: Callable[[str], bool],
        version: Callable[[], int],
        record_need: Callable[[], None],
        send_to: Callable[[str, Any], None],
    ) -> None:
        self._node = node
        self._elapsed = elapsed
        self._members = members
        self._is_heard = is_heard
        self._version = version
        self._record_need = record_need
        self._send_to = send_to
        # Numbers must not repeat those that an earlier start has used lately.
        self._holder = AllowanceHolder((node.identity.incarnation % 2**30) << 30)
        self._future_by_number: dict[int, asyncio.Future[Decision]] = {}
        self._next_tick: Subscription | None = None
        self._is_tick_soon = False
        self._forgot_at = elapsed.now()
        self.refused = 0
        self.undecided = 0
        self._uncounted_until = float("-inf")

    async def take(self, job: Job) -> AllowanceTicket:
        """Take the units of a request, waiting for them if its granter has to be found.

        Raises
        ------
        RefusedError
            If the allowance is used up, or no granter has replied in time.
        """
        allowance = job.workspace.allowance if job.workspace is not None else None
        if allowance is None or allowance.per_second <= 0.0:
            return AllowanceTicket()
        units = allowance.units(job.caller.total_tokens)
        if units <= 0.0:
            return AllowanceTicket()
        self._record_need()
        now, workspace = self._elapsed.now(), job.workspace_name
        if now < self._uncounted_until:
            return AllowanceTicket()
        seconds = self._holder.refusal(workspace, units, now)
        if seconds is not None:
            raise self._refused(job, units, seconds)
        self._holder.update_granters(self._members.granters)
        patience = max(0.0, min(MAX_WAIT_SECONDS, MAX_WAIT_SHARE * job.seconds_left()))
        number, sent = self._holder.ask(workspace, self._version(), allowance, units, patience, now)
        self._send(sent)
        decision = await self._decided(number, workspace, units)
        if not decision.is_granted:
            if not decision.is_counted:
                own, now = self._node.identity.vm, self._elapsed.now()
                if self._holder.runs_among_old_builds(own, decision.asked, self._is_heard, now):
                    self._uncounted_until = now + UNCOUNTED_SECONDS
                    logger.warning("no gateway counts allowances; requests are not counted")
                    return AllowanceTicket()
                self.undecided += 1
                raise RefusedError(
                    ResultCode.WORKSPACE_LIMIT,
                    f"no units of workspace {workspace} granted in {patience:.3f} s",
                    decision.seconds,
                )
            raise self._refused(job, units, decision.seconds)
        granted_at = self._elapsed.now()
        return AllowanceTicket(lambda: self._give_back(workspace, units, decision, granted_at))

    @singledispatchmethod
    def receive(self, message: Any, source: str) -> None:
        """Handle a message of a granter; those of other types are not for a client."""

    @receive.register
    def _handle_reply(self, message: AllowanceReply, source: str) -> None:
        if source != self._node.identity.vm:
            self._uncounted_until = float("-inf")
        decision, sent = self._holder.receive(source, message, self._elapsed.now())
        self._send(sent)
        if decision is not None:
            self._decide(decision)

    async def _decided(self, number: int, workspace: str, units: float) -> Decision:
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._future_by_number[number] = future
        self._schedule()
        try:
            return await future
        except asyncio.CancelledError:
            now = self._elapsed.now()
            if future.cancelled():
                self._send(self._holder.cancel(number, now))
            elif future.result().is_granted:
                self._give_back(workspace, units, future.result(), now)
            raise
        finally:
            del self._future_by_number[number]

    def _give_back(
        self, workspace: str, units: float, decision: Decision, granted_at: float
    ) -> None:
        age = self._elapsed.now() - granted_at
        returned = AllowanceReturned(decision.number, workspace, decision.session, units, age)
        self._send_to(decision.granter, returned)

    def _decide(self, decision: Decision) -> None:
        future = self._future_by_number.get(decision.number)
        if future is not None and not future.done():
            future.set_result(decision)

    def _schedule(self) -> None:
        """Schedule the next tick, sooner than one that is scheduled if an ask waits."""
        is_waiting = self._holder.is_waiting
        if self._next_tick is not None:
            if not is_waiting or self._is_tick_soon:
                return
            self._next_tick.cancel()
        self._next_tick, self._is_tick_soon = None, is_waiting
        if is_waiting or self._holder.known_workspaces:
            seconds = TICK_SECONDS if is_waiting else IDLE_TICK_SECONDS
            self._next_tick = self._node.timers.after(seconds, self._tick)

    def _tick(self) -> None:
        self._next_tick = None
        now = self._elapsed.now()
        self._holder.update_granters(self._members.granters)
        decisions, sent = self._holder.tick(now)
        self._send(sent)
        for decision in decisions:
            logger.bind(granters=len(self._members.granters)).warning("no granter of allowances")
            self._decide(decision)
        if now - self._forgot_at >= IDLE_TICK_SECONDS:
            self._forgot_at = now
            self._holder.forget_idle(now)
        self._schedule()

    def _refused(self, job: Job, units: float, seconds: float) -> RefusedError:
        self.refused += 1
        detail = f"workspace {job.workspace_name} needs {units:g} units"
        return RefusedError(ResultCode.WORKSPACE_LIMIT, detail, seconds)

    def _send(self, sent: Iterable[Outgoing]) -> None:
        for each in sent:
            self._send_to(each.vm, each.message)
