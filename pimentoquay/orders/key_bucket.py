"""Decides claims of the idempotency keys of one bucket through the log.

A claim is granted only when its record is on the log and all records before it have been applied
without an earlier claim of the same key. So two VMs that both consider themselves owner of the
bucket cannot both grant a key.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentoquay.kernel import Node, PimentoquayError, ResultCode, Subscription
from pimentoquay.messages.orders import KeyBatch, KeyClaimRecord, KeyOutcomeRecord
from pimentoquay.orders.folded_stream import FoldedStream, NotAppendedError
from pimentoquay.orders.key_fold import KeyFold
from pimentoquay.orders.settings import OnceOnlySection
from pimentoquay.services.base import LogClient

__all__ = ["KeyBucket", "PendingClaim"]

OUTCOME_DELAY_SECONDS = 0.5
"""Time in seconds for which an outcome waits for claims that can be appended together with it.

Outcomes of a failed append are appended again after the same time, or earlier with new claims.
"""

MAX_BATCH_RECORDS = 2000
"""Maximum number of claims, and of outcomes, in one append."""

MAX_OUTCOMES = 20000
"""Maximum number of outcomes kept while the log is down; keys of dropped ones stay claimed."""

MAX_ABANDONED_BATCHES = 1000
"""Maximum number of remembered batches whose append failed with an unknown result.

The keys of a batch that is no longer remembered stay claimed if it is on the log after all.
"""


@dataclass(eq=False)
class PendingClaim:
    """A claim that waits for its decision; ``answer`` is called exactly once."""

    record: KeyClaimRecord
    answer: Callable[[ResultCode], None]
    expiry: Subscription | None = None
    is_answered: bool = False

    def finish(self, code: ResultCode) -> None:
        """Answer the claim, unless it has been answered."""
        if self.expiry is not None:
            self.expiry.cancel()
        if not self.is_answered:
            self.is_answered = True
            self.answer(code)


class KeyBucket:
    """Queues the claims and outcomes of one bucket, appends them and answers the claims.

    Parameters
    ----------
    node
        The control process.
    log
        Client of the log service.
    stream
        Name of the bucket's log stream.
    section
        The ``[once_only]`` settings.
    """

    def __init__(self, node: Node, log: LogClient, stream: str, section: OnceOnlySection) -> None:
        self._node = node
        self._section = section
        self._fold = self._new_fold()
        self._stream = FoldedStream(log, stream, self._apply, self._restart)
        self._claims: list[PendingClaim] = []
        self._outcomes: list[KeyOutcomeRecord] = []
        self._wake = asyncio.Event()
        self._sequence = 0
        self._appended_at = -1e9
        self._abandoned: dict[int, tuple[KeyClaimRecord, ...]] = {}

    def claim(self, record: KeyClaimRecord, answer: Callable[[ResultCode], None]) -> None:
        """Decide a claim and call ``answer`` with the result code within the claim timeout."""
        now = self._node.timers.now()
        code = self._fold.code_for(record.digest, record.claim_id, now)
        if code not in (None, ResultCode.OK):
            answer(code or ResultCode.INTERNAL)
            return
        pending = PendingClaim(record, answer)
        pending.expiry = self._node.timers.after(
            self._section.claim_timeout, lambda: pending.finish(ResultCode.KEY_UNAVAILABLE)
        )
        self._claims.append(pending)
        self._wake.set()

    def record_outcome(self, record: KeyOutcomeRecord) -> None:
        """Queue an outcome, to be appended together with later claims."""
        self._outcomes = [*self._outcomes[-MAX_OUTCOMES:], record]
        self._node.timers.after(OUTCOME_DELAY_SECONDS, self._wake.set)

    async def run(self) -> None:
        """Append batches of claims and outcomes until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            due = self._appended_at + self._section.batch_window
            await self._node.timers.sleep(due - self._node.timers.now())
            claims = self._take_claims()
            outcomes, self._outcomes = (
                self._outcomes[:MAX_BATCH_RECORDS],
                self._outcomes[MAX_BATCH_RECORDS:],
            )
            if not claims and not outcomes:
                continue
            self._appended_at = self._node.timers.now()
            await self._commit(claims, outcomes)

    def _take_claims(self) -> list[PendingClaim]:
        taken, self._claims = self._claims[:MAX_BATCH_RECORDS], self._claims[MAX_BATCH_RECORDS:]
        if self._claims:
            self._wake.set()
        return [pending for pending in taken if not pending.is_answered]

    async def _commit(self, claims: list[PendingClaim], outcomes: list[KeyOutcomeRecord]) -> None:
        batch = self._make_batch(claims, outcomes)
        try:
            async with asyncio.timeout(self._section.claim_timeout):
                await self._stream.append(batch)
        except NotAppendedError:
            self._refuse_claims(claims, outcomes)
            return
        except (OSError, TimeoutError, PimentoquayError):
            self._abandon(batch)
            self._refuse_claims(claims, outcomes)
            return
        self._answer(claims)

    def _abandon(self, batch: KeyBatch) -> None:
        """Remember a batch that may be on the log, to free its keys when it is read there."""
        self._abandoned[batch.sequence] = batch.claims
        if len(self._abandoned) > MAX_ABANDONED_BATCHES:
            del self._abandoned[min(self._abandoned)]

    def _make_batch(self, claims: list[PendingClaim], outcomes: list[KeyOutcomeRecord]) -> KeyBatch:
        self._sequence += 1
        identity = self._node.identity
        records = tuple(pending.record for pending in claims)
        return KeyBatch(identity.vm, identity.incarnation, self._sequence, tuple(outcomes), records)

    def _refuse_claims(self, claims: list[PendingClaim], outcomes: list[KeyOutcomeRecord]) -> None:
        """Refuse the claims as not decided, and keep the outcomes for the next append."""
        for pending in claims:
            pending.finish(ResultCode.KEY_UNAVAILABLE)
        if outcomes:
            self._outcomes = [*outcomes, *self._outcomes]
            self._node.timers.after(OUTCOME_DELAY_SECONDS, self._wake.set)

    def _answer(self, claims: list[PendingClaim]) -> None:
        now = self._node.timers.now()
        for pending in claims:
            record = pending.record
            code = self._fold.code_for(record.digest, record.claim_id, now)
            if code is ResultCode.OK and pending.is_answered:
                self._release(record)
            pending.finish(code or ResultCode.KEY_UNAVAILABLE)
        self._fold.expire_old(now)

    def _release(self, record: KeyClaimRecord) -> None:
        """Free a key whose claim was refused although it is on the log."""
        self.record_outcome(
            KeyOutcomeRecord(record.digest, record.claim_id, ResultCode.KEY_UNAVAILABLE)
        )

    def _new_fold(self) -> KeyFold:
        return KeyFold(self._section.key_lifetime, self._section.outcome_timeout)

    def _restart(self) -> None:
        self._fold = self._new_fold()

    def _apply(self, offset: int, batch: Any, age: float) -> None:
        if isinstance(batch, KeyBatch):
            self._fold.apply(batch, self._node.timers.now() - age)
            self._release_abandoned(batch)

    def _release_abandoned(self, batch: KeyBatch) -> None:
        identity = self._node.identity
        if (batch.vm, batch.incarnation) != (identity.vm, identity.incarnation):
            return
        for record in self._abandoned.pop(batch.sequence, ()):
            holder = self._fold.holder_of(record.digest)
            if holder is not None and holder.claim_id == record.claim_id:
                self._release(record)
