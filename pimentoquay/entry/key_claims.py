"""Claims of idempotency keys, made before a call that must run at most once.

The control process that owns a key decides each claim by the order of claims in the log. The call
runs only if its claim is granted. Every granted claim is settled with the final result code of the
call. A key whose claim is never settled stays taken, so that its call is not run twice.
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

CLAIM_TIMEOUT_SECONDS = 3.0
"""Maximum wait for the decision on a claim, in seconds."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""Maximum wait for a channel to the key's owner, in seconds.

After that, the claim is sent to the control process of the entry's VM.
"""

RETRY_AFTER_SECONDS = 1.0
"""Retry-After time sent with a refusal, in seconds."""

MAX_UNSENT_OUTCOMES = 1000
"""Maximum number of outcomes queued while no control process is reachable.

The oldest are dropped first; their keys stay taken.
"""


@dataclass(frozen=True)
class Claim:
    """A claim of an idempotency key.

    ``claim_id`` is random. ``vm`` is the VM whose control process decides the claim.
    """

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
    """Task that claims idempotency keys and settles the claims.

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
        self._unsent_outcomes: list[tuple[str, KeyOutcome]] = []
        self.inbox: asyncio.Queue[Envelope] = node.bus.subscribe(
            KeyClaimAnswer, ChannelOpened, ChannelClosed
        )

    async def run(self) -> None:
        """Receive decisions on claims, and resend queued outcomes, until cancelled."""
        while True:
            envelope = await self.inbox.get()
            message = envelope.message
            if isinstance(message, KeyClaimAnswer):
                self._handle_answer(message, envelope.channel)
            elif isinstance(message, ChannelClosed):
                self._handle_closed(message.channel)
            else:
                self._send_unsent()

    async def claim(self, workspace: str, key: str, request_id: str) -> Claim:
        """Claim a key and return the granted claim.

        Raises
        ------
        RefusedError
            If the claim was not decided in time (``KEY_UNAVAILABLE``), or was rejected with a
            code that says that the call did not run.
        PimentoquayError
            If the claim was rejected with another code.
        """
        view = self._link.directory.view
        vm = owner_vm_of_key(view, (), workspace, key) or self._node.identity.vm
        channel = await self._link.connect(vm, CONNECT_TIMEOUT_SECONDS)
        if channel is None:
            raise _unavailable_error("no control process can be reached")
        claim = Claim(key, workspace, request_id, uuid.uuid4().hex, channel.peer.vm)
        code = await self._request_claim(claim, channel)
        if code is not ResultCode.OK:
            raise _claim_error(code, key)
        return claim

    def settle(self, claim: Claim, code: ResultCode) -> None:
        """Send the final code of a claimed call to the key's owner.

        A "not run" code frees the key. The outcome is queued if no control process is reachable.
        """
        outcome = KeyOutcome(claim.key, claim.workspace, claim.request_id, claim.claim_id, code)
        if not self._send_outcome(claim.vm, outcome):
            self._unsent_outcomes = [
                *self._unsent_outcomes[-MAX_UNSENT_OUTCOMES:],
                (claim.vm, outcome),
            ]

    async def _request_claim(self, claim: Claim, channel: Channel) -> ResultCode:
        answer: asyncio.Future[ResultCode] = asyncio.get_running_loop().create_future()
        self._waiter_by_claim[claim.claim_id] = _Waiter(answer, channel)
        channel.send(KeyClaim(claim.key, claim.workspace, claim.request_id, claim.claim_id))
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                return await answer
        except (TimeoutError, ConnectionError) as error:
            self.settle(claim, ResultCode.KEY_UNAVAILABLE)
            raise _unavailable_error(f"the claim was not decided: {error!r}") from None
        except asyncio.CancelledError:
            self.settle(claim, ResultCode.KEY_UNAVAILABLE)
            raise
        finally:
            del self._waiter_by_claim[claim.claim_id]

    def _send_outcome(self, vm: str, outcome: KeyOutcome) -> bool:
        channel = self._link.channel_to(vm) or self._link.channel_to(self._node.identity.vm)
        if channel is not None:
            channel.send(outcome)
        return channel is not None

    def _send_unsent(self) -> None:
        unsent, self._unsent_outcomes = self._unsent_outcomes, []
        for vm, outcome in unsent:
            if not self._send_outcome(vm, outcome):
                self._unsent_outcomes.append((vm, outcome))

    def _handle_answer(self, message: KeyClaimAnswer, channel: Channel | None) -> None:
        waiter = self._waiter_by_claim.get(message.claim_id)
        if waiter is not None and waiter.channel is channel and not waiter.answer.done():
            waiter.answer.set_result(message.code)

    def _handle_closed(self, channel: Channel) -> None:
        for waiter in self._waiter_by_claim.values():
            if waiter.channel is channel and not waiter.answer.done():
                waiter.answer.set_exception(ConnectionResetError("the channel has closed"))


def _claim_error(code: ResultCode, key: str) -> PimentoquayError:
    detail = f"idempotency key {key[:60]!r}"
    if is_not_run(code):
        return RefusedError(code, detail, RETRY_AFTER_SECONDS)
    return PimentoquayError(code, detail)


def _unavailable_error(detail: str) -> RefusedError:
    return RefusedError(ResultCode.KEY_UNAVAILABLE, detail, RETRY_AFTER_SECONDS)
