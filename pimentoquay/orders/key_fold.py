"""Holders of the keys of one bucket, computed from its log stream without I/O.

The first claim of a free key in log order holds the key. An outcome applies only to the claim that
it names, so a late or repeated outcome does no harm.
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
    claimed_at: float
    code: ResultCode | None = None


class KeyFold:
    """Holders of keys according to the log records applied so far.

    Parameters
    ----------
    lifetime
        Seconds for which a key is remembered.
    outcome_timeout
        Seconds after which the outcome of a claim counts as unknown if none was recorded.
    """

    def __init__(self, lifetime: float, outcome_timeout: float) -> None:
        self._lifetime = lifetime
        self._outcome_timeout = outcome_timeout
        self._holder_by_digest: dict[bytes, KeyHolder] = {}
        self._claim_times: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._holder_by_digest)

    def apply(self, batch: KeyBatch, appended_at: float) -> None:
        """Apply one batch from the log, outcomes before claims.

        Parameters
        ----------
        batch
            The batch.
        appended_at
            Time of its append in seconds of the local clock.
        """
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
                self._claim_times.append((appended_at, claim.digest))

    def expire_old(self, now: float) -> None:
        """Remove keys older than their lifetime."""
        while self._claim_times and now - self._claim_times[0][0] > self._lifetime:
            claimed_at, digest = self._claim_times.popleft()
            holder = self._holder_by_digest.get(digest)
            if holder is not None and holder.claimed_at == claimed_at:
                del self._holder_by_digest[digest]

    def holder_of(self, digest: bytes) -> KeyHolder | None:
        """Return the claim that holds a key, or ``None`` if the key is free."""
        return self._holder_by_digest.get(digest)

    def code_for(self, digest: bytes, claim_id: str, now: float) -> ResultCode | None:
        """Return the result code that answers a claim, or ``None`` if the key is free."""
        holder = self._holder_by_digest.get(digest)
        if holder is None:
            return None
        if holder.claim_id == claim_id:
            return ResultCode.OK
        if holder.code is ResultCode.OUTCOME_UNKNOWN:
            return ResultCode.OUTCOME_UNKNOWN
        if holder.code is not None:
            return ResultCode.KEY_ALREADY_RUN
        if now - holder.claimed_at > self._outcome_timeout:
            return ResultCode.OUTCOME_UNKNOWN
        return ResultCode.KEY_IN_USE
