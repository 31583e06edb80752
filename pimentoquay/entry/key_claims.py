"""Idempotency keys at the entry: a key is claimed before a call that may run at most once.

The key's owner decides by the order of the log. Unless the claim is granted, the call does not
run. Every granted claim is settled with the call's final code; one that is never settled keeps
its key taken, which is the safe side.
"""

import asyncio
import uuid
from dataclasses import dataclass

from pimentoquay.entry.scheduler_link import SchedulerLink
from pimentoquay.kernel import (
    Channel,
    ChannelClosed,
    ChannelOpened,
    Envelope,
    Node,
    PimentoquayError,
    RefusedError,
    ResultCode,
    is_not_run,
)
from pimentoquay.messages.orders import KeyClaim, KeyClaimAnswer, KeyOutcome
from pimentoquay.orders.keys import owner_vm_of_key

__all__ = ["Claim", "KeyClaims"]

CLAIM_SECONDS = 3.0
"""The longest wait for a claim to be decided."""

REACH_SECONDS = 0.5
"""How long a channel to the key's owner is waited for before the own VM is asked instead."""

RETRY_AFTER_SECONDS = 1.0

MAX_UNSETTLED = 1000
"""Outcomes kept while no control process can be reached; older keys stay taken."""


@dataclass(frozen=True)
class Claim:
    """A granted claim."""

    key: str
    workspace: str
    request_id: str
    claim_id: str
    vm: str


@dataclass(frozen=True)
class _Waiter:
    answer: "asyncio.Future[ResultCode]"
    channel: Channel


class KeyClaims:
    """The task that claims keys and settles claims.

    Parameters
    ----------
    node
        The entry process.
    link
        Its channels to control processes.
    """

    def __init__(self, node: Node, link: SchedulerLink) -> None:
        self._node = node
        self._link = link
        self._waiter_by_claim: dict[str, _Waiter] = {}
        self._unsettled: list[tuple[str, KeyOutcome]] = []
        self.inbox: asyncio.Queue[Envelope] = node.bus.subscribe(
            KeyClaimAnswer, ChannelOpened, ChannelClosed
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            envelope = await self.inbox.get()
            message = envelope.message
            if isinstance(message, KeyClaimAnswer):
                self._take_answer(message, envelope.channel)
            elif isinstance(message, ChannelClosed):
                self._take_closed(message.channel)
            else:
                self._settle_rest()

    async def claim(self, workspace: str, key: str, request_id: str) -> Claim:
        """Claim a key; ``PimentoquayError`` with the owner's code unless it is granted."""
        view = self._link.directory.view
        vm = owner_vm_of_key(view, (), workspace, key) or self._node.identity.vm
        channel = await self._link.reach(vm, REACH_SECONDS)
        if channel is None:
            raise _unavailable("no control process can be reached")
        claim = Claim(key, workspace, request_id, uuid.uuid4().hex, channel.peer.vm)
        code = await self._ask(claim, channel)
        if code is not ResultCode.OK:
            raise _claim_error(code, key)
        return claim

    def settle(self, claim: Claim, code: ResultCode) -> None:
        """Tell how a claimed call ended; a "not run" code frees the key."""
        outcome = KeyOutcome(claim.key, claim.workspace, claim.request_id, claim.claim_id, code)
        if not self._send(claim.vm, outcome):
            self._unsettled = [*self._unsettled[-MAX_UNSETTLED:], (claim.vm, outcome)]

    async def _ask(self, claim: Claim, channel: Channel) -> ResultCode:
        answer: asyncio.Future[ResultCode] = asyncio.get_running_loop().create_future()
        self._waiter_by_claim[claim.claim_id] = _Waiter(answer, channel)
        channel.send(KeyClaim(claim.key, claim.workspace, claim.request_id, claim.claim_id))
        try:
            async with asyncio.timeout(CLAIM_SECONDS):
                return await answer
        except (TimeoutError, ConnectionError) as error:
            self.settle(claim, ResultCode.KEY_UNAVAILABLE)
            raise _unavailable(f"the claim was not decided: {error!r}") from None
        except asyncio.CancelledError:
            self.settle(claim, ResultCode.KEY_UNAVAILABLE)
            raise
        finally:
            del self._waiter_by_claim[claim.claim_id]

    def _send(self, vm: str, outcome: KeyOutcome) -> bool:
        channel = self._link.channel_to(vm) or self._link.channel_to(self._node.identity.vm)
        if channel is not None:
            channel.send(outcome)
        return channel is not None

    def _settle_rest(self) -> None:
        unsettled, self._unsettled = self._unsettled, []
        for vm, outcome in unsettled:
            if not self._send(vm, outcome):
                self._unsettled.append((vm, outcome))

    def _take_answer(self, message: KeyClaimAnswer, channel: Channel | None) -> None:
        waiter = self._waiter_by_claim.get(message.claim_id)
        if waiter is not None and waiter.channel is channel and not waiter.answer.done():
            waiter.answer.set_result(message.code)

    def _take_closed(self, channel: Channel) -> None:
        for waiter in self._waiter_by_claim.values():
            if waiter.channel is channel and not waiter.answer.done():
                waiter.answer.set_exception(ConnectionResetError("the channel has closed"))


def _claim_error(code: ResultCode, key: str) -> PimentoquayError:
    detail = f"idempotency key {key[:60]!r}"
    if is_not_run(code):
        return RefusedError(code, detail, RETRY_AFTER_SECONDS)
    return PimentoquayError(code, detail)


def _unavailable(detail: str) -> RefusedError:
    return RefusedError(ResultCode.KEY_UNAVAILABLE, detail, RETRY_AFTER_SECONDS)
