"""Granter of allowances: lends and collects votes, and answers the asks of all gateways.

Nothing is sent before a request with an allowance has been seen, here or by an ask.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.elapsed_time import ElapsedTime
from pimentoquay.kernel import Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.allowances import AllowanceAsk, AllowanceReturned, Lease, LeaseRequest
from pimentoquay.policy.allowance_leases import LeaseVoter, Members
from pimentoquay.policy.allowances import AllowanceGranter, GranterBounds, Outgoing
from pimentoquay.policy.vm_liveness import least_votes

__all__ = ["AllowanceGranting"]

WAITING_TICK_SECONDS = 0.05
"""Interval of ticks while asks wait here."""

TICK_SECONDS = 0.125
"""Interval of ticks of a granter, half of that of its requests for votes."""

IDLE_TICK_SECONDS = 0.5
"""Interval of ticks of a gateway that grants nothing, at which it also learns of other VMs."""

NEEDED_SECONDS = 600.0
"""Time after the last request with an allowance for which votes are still collected, so that what
workspaces have earned while they were idle is known."""


class AllowanceGranting:
    """Grants the allowances for which this gateway holds votes.

    Parameters
    ----------
    node, elapsed
        The process, and the time that also passes while it is suspended.
    bounds
        Permitted excess of allowances.
    data_centre_by_vm
        Returns the VMs that are known, with their data centres; none if they are not known yet.
    is_heard
        Returns whether a VM is heard, directly or as a relay.
    seconds_without_news
        Returns the time since this gateway has last had news of the store.
    is_stopping
        Returns whether this gateway is about to stop.
    send_to
        Sends a message to a VM.
    """

    def __init__(
        self,
        node: Node,
        elapsed: ElapsedTime,
        bounds: GranterBounds,
        data_centre_by_vm: Callable[[], Mapping[str, str]],
        is_heard: Callable[[str], bool],
        seconds_without_news: Callable[[], float],
        is_stopping: Callable[[], bool],
        send_to: Callable[[str, Any], None],
    ) -> None:
        self._node = node
        self._elapsed = elapsed
        self._data_centre_by_vm = data_centre_by_vm
        self._is_heard = is_heard
        self._seconds_without_news = seconds_without_news
        self._is_stopping = is_stopping
        self._send_to = send_to
        self.members = Members()
        identity = node.identity
        self._voter = LeaseVoter(elapsed.now())
        self._granter = AllowanceGranter(identity.vm, self.members, identity.incarnation, bounds)
        self._granter.on_refused = _log_refusal
        self._needed_until = -math.inf
        self._listed_at = -math.inf
        self._was_steady = False

    @property
    def active_workspaces(self) -> int:
        """Number of workspaces that are counted here."""
        return self._granter.active_workspaces

    def start(self) -> None:
        """Begin to collect votes when they are needed, and to grant what is waited for."""
        self._tick()

    def record_need(self) -> None:
        """Record that a request with an allowance has been seen."""
        self._needed_until = self._elapsed.now() + NEEDED_SECONDS

    @singledispatchmethod
    def receive(self, message: Any, source: str) -> None:
        """Handle a message of a gateway; those of other types are not for a granter."""

    @receive.register
    def _handle_lease_request(self, message: LeaseRequest, source: str) -> None:
        if not self.members.known:
            return
        lease = self._voter.lend(source, message, len(self.members.adopted), self._elapsed.now())
        if lease is not None:
            self._send_to(source, lease)

    @receive.register
    def _handle_lease(self, message: Lease, source: str) -> None:
        self._granter.record_lease(source, message, self._elapsed.now())

    @receive.register
    def _handle_ask(self, message: AllowanceAsk, source: str) -> None:
        self.record_need()
        self._send(self._granter.ask(source, message, self._elapsed.now()))

    @receive.register
    def _handle_returned(self, message: AllowanceReturned, source: str) -> None:
        self._granter.give_back(source, message, self._elapsed.now())

    def _tick(self) -> None:
        now = self._elapsed.now()
        if now - self._listed_at >= IDLE_TICK_SECONDS:
            self._listed_at = now
            self.members.update(self._data_centre_by_vm(), now)
            leases = self._granter.leases
            leases.find_old_builds(self._is_heard, now)
            leases.least_votes = least_votes(self._seconds_without_news())
        is_granter = self._node.identity.vm in self.members.granters
        is_needed = is_granter and now < self._needed_until and not self._is_stopping()
        if is_needed or self._granter.active_workspaces:
            self._send(self._granter.tick(now, is_needed))
        is_steady = math.isfinite(self._granter.leases.steady_since)
        if is_steady != self._was_steady:
            self._was_steady = is_steady
            logger.bind(has_votes=is_steady, vms=len(self.members.adopted)).info(
                "votes for allowances changed"
            )
        interval = TICK_SECONDS if is_needed else IDLE_TICK_SECONDS
        if self._granter.is_waited_for:
            interval = WAITING_TICK_SECONDS
        self._node.timers.after(interval, self._tick)

    def _send(self, sent: Iterable[Outgoing]) -> None:
        for each in sent:
            self._send_to(each.vm, each.message)


def _log_refusal(workspace: str, units: float, level: float, seconds: float) -> None:
    if math.isinf(seconds):  # It exceeds the burst by more than the permitted overrun covers.
        logger.bind(workspace=workspace, units=units).warning("burst too small for a request")
        return
    logger.bind(
        workspace=workspace, units=units, level=f"{level:.0f}", retry_after=f"{seconds:.3f}"
    ).info("allowance used up")
