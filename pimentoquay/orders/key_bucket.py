"""Decides the claims of one bucket of idempotency keys through the log.

A claim is granted only once its own append is on the log and everything before that append has
been folded without an earlier claim of the key. Two VMs that both think they own the bucket
therefore cannot both grant.
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

OUTCOME_DELAY = 0.5
"""Seconds that outcomes wait for claims to travel with, and between attempts to append them."""

MAX_BATCH = 2000
"""Claims or outcomes in one append."""

MAX_OUTCOMES = 20000
"""Outcomes kept while the log is down; the oldest are dropped and their keys stay claimed."""

MAX_ABANDONED = 1000
"""Batches of unknown outcome remembered; keys of older ones stay claimed."""


@dataclass(eq=False)
class PendingClaim:
    """A claim that has not been answered yet; ``answer`` is called exactly once."""

    record: KeyClaimRecord
    answer: Callable[[ResultCode], None]
    expiry: Subscription | None = None
    is_answered: bool = False

    def finish(self, code: ResultCode) -> None:
        """Answer, unless that has been done."""
        if self.expiry is not None:
            self.expiry.cancel()
        if not self.is_answered:
            self.is_answered = True
            self.answer(code)


class KeyBucket:
    """The claims, the fold and the appends of one bucket.

    Parameters
    ----------
    node
        The control process.
    log
        The log service.
    stream
        The bucket's stream.
    section
        Time limits.
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
        """Decide a claim; ``answer`` is called within the claim time-out."""
        now = self._node.timers.now()
        code = self._fold.answer_for(record.digest, record.claim_id, now)
        if code not in (None, ResultCode.OK):
            answer(code or ResultCode.INTERNAL)
            return
        pending = PendingClaim(record, answer)
        pending.expiry = self._node.timers.after(
            self._section.claim_timeout, lambda: pending.finish(ResultCode.KEY_UNAVAILABLE)
        )
        self._claims.append(pending)
        self._wake.set()

    def note_outcome(self, record: KeyOutcomeRecord) -> None:
        """Take an outcome to the log together with later claims."""
        self._outcomes = [*self._outcomes[-MAX_OUTCOMES:], record]
        self._node.timers.after(OUTCOME_DELAY, self._wake.set)

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            due = self._appended_at + self._section.batch_window
            await self._node.timers.sleep(due - self._node.timers.now())
            claims = self._take_claims()
            outcomes, self._outcomes = self._outcomes[:MAX_BATCH], self._outcomes[MAX_BATCH:]
            if not claims and not outcomes:
                continue
            self._appended_at = self._node.timers.now()
            await self._commit(claims, outcomes)

    def _take_claims(self) -> list[PendingClaim]:
        taken, self._claims = self._claims[:MAX_BATCH], self._claims[MAX_BATCH:]
        if self._claims:
            self._wake.set()
        return [pending for pending in taken if not pending.is_answered]

    async def _commit(self, claims: list[PendingClaim], outcomes: list[KeyOutcomeRecord]) -> None:
        batch = self._batch(claims, outcomes)
        try:
            async with asyncio.timeout(self._section.claim_timeout):
                await self._stream.append(batch)
        except NotAppendedError:
            self._give_up(claims, outcomes)
            return
        except (OSError, TimeoutError, PimentoquayError):
            self._abandon(batch)
            self._give_up(claims, outcomes)
            return
        self._answer(claims)

    def _abandon(self, batch: KeyBatch) -> None:
        """Remember a batch that may be on the log, to free its keys when it is read."""
        self._abandoned[batch.sequence] = batch.claims
        if len(self._abandoned) > MAX_ABANDONED:
            del self._abandoned[min(self._abandoned)]

    def _batch(self, claims: list[PendingClaim], outcomes: list[KeyOutcomeRecord]) -> KeyBatch:
        self._sequence += 1
        identity = self._node.identity
        records = tuple(pending.record for pending in claims)
        return KeyBatch(identity.vm, identity.incarnation, self._sequence, tuple(outcomes), records)

    def _give_up(self, claims: list[PendingClaim], outcomes: list[KeyOutcomeRecord]) -> None:
        """Refuse the claims truthfully and keep the outcomes for the next append."""
        for pending in claims:
            pending.finish(ResultCode.KEY_UNAVAILABLE)
        if outcomes:
            self._outcomes = [*outcomes, *self._outcomes]
            self._node.timers.after(OUTCOME_DELAY, self._wake.set)

    def _answer(self, claims: list[PendingClaim]) -> None:
        now = self._node.timers.now()
        for pending in claims:
            record = pending.record
            code = self._fold.answer_for(record.digest, record.claim_id, now)
            if code is ResultCode.OK and pending.is_answered:
                self._release(record)
            pending.finish(code or ResultCode.KEY_UNAVAILABLE)
        self._fold.forget_old(now)

    def _release(self, record: KeyClaimRecord) -> None:
        """Free a key whose claim was refused although the log took it."""
        self.note_outcome(
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
