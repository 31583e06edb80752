"""The fold of one bucket's log stream: who holds which key; pure, with the time passed in.

The first claim of a free key in the order of the log holds it. An outcome counts only for the
claim that it names, so that a late or repeated one harms nobody.
"""

from collections import deque
from dataclasses import dataclass

from pimentoquay.kernel.codes import ResultCode, is_not_run
from pimentoquay.messages.orders import KeyBatch

__all__ = ["KeyFold", "KeyHolder"]


@dataclass
class KeyHolder:
    """The claim that holds a key; ``code`` is ``None`` until its outcome is known."""

    claim_id: str
    taken_at: float
    code: ResultCode | None = None


class KeyFold:
    """Holders of keys by the records folded so far.

    Parameters
    ----------
    lifetime
        Seconds for which a key is remembered.
    outcome_timeout
        Seconds after which a claim without an outcome counts as of unknown outcome.
    """

    def __init__(self, lifetime: float, outcome_timeout: float) -> None:
        self._lifetime = lifetime
        self._outcome_timeout = outcome_timeout
        self._holder_by_digest: dict[bytes, KeyHolder] = {}
        self._taken: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._holder_by_digest)

    def apply(self, batch: KeyBatch, appended_at: float) -> None:
        """Fold one batch."""
        for outcome in batch.outcomes:
            holder = self._holder_by_digest.get(outcome.digest)
            if holder is None or holder.claim_id != outcome.claim_id:
                continue
            if is_not_run(outcome.code):
                del self._holder_by_digest[outcome.digest]
            else:
                holder.code = outcome.code
        for claim in batch.claims:
            if claim.digest not in self._holder_by_digest:
                self._holder_by_digest[claim.digest] = KeyHolder(claim.claim_id, appended_at)
                self._taken.append((appended_at, claim.digest))

    def forget_old(self, now: float) -> None:
        """Drop keys older than their lifetime."""
        while self._taken and now - self._taken[0][0] > self._lifetime:
            taken_at, digest = self._taken.popleft()
            holder = self._holder_by_digest.get(digest)
            if holder is not None and holder.taken_at == taken_at:
                del self._holder_by_digest[digest]

    def holder_of(self, digest: bytes) -> KeyHolder | None:
        """Return the claim that holds a key."""
        return self._holder_by_digest.get(digest)

    def answer_for(self, digest: bytes, claim_id: str, now: float) -> ResultCode | None:
        """Return the code for a claim, or ``None`` if the key is free."""
        holder = self._holder_by_digest.get(digest)
        if holder is None:
            return None
        if holder.claim_id == claim_id:
            return ResultCode.OK
        if holder.code is ResultCode.OUTCOME_UNKNOWN:
            return ResultCode.OUTCOME_UNKNOWN
        if holder.code is not None:
            return ResultCode.KEY_ALREADY_RUN
        if now - holder.taken_at > self._outcome_timeout:
            return ResultCode.OUTCOME_UNKNOWN
        return ResultCode.KEY_IN_USE
