"""Estimated speeds of engines and links, and estimated lengths of answers.

Each estimate is an exponentially weighted moving average of the samples that entries report. For an
engine without samples, the average over all engines of the shard is used, and before the first
sample the starting values.
"""

from dataclasses import dataclass

__all__ = ["Estimate", "SpeedBook", "StartingSpeeds"]

NEW_SAMPLE_WEIGHT = 0.2
"""Weight of the newest sample in a moving average."""


@dataclass(frozen=True)
class StartingSpeeds:
    """Assumed values before the first sample.

    ``prefill``, ``interval`` and ``transfer`` are seconds per token of a prefill, of decoding and
    of a KV transfer. ``answer_fraction`` is the length of an answer as a share of its limit.
    """

    prefill: float = 0.0005
    interval: float = 0.03
    transfer: float = 0.0001
    answer_fraction: float = 1.0


class Estimate:
    """Moving averages by key, with the average over all keys as the fallback."""

    def __init__(self, start: float) -> None:
        self._mean_by_key: dict[str, float] = {}
        self._sampled_at_by_key: dict[str, float] = {}
        self._overall = start
        self._is_started = False

    def add(self, key: str, sample: float, now: float) -> None:
        """Add a sample for a key; raise ``ValueError`` if it is negative."""
        if sample < 0:
            raise ValueError(f"a sample must not be negative, got {sample}")
        mean = self._mean_by_key.get(key)
        self._mean_by_key[key] = sample if mean is None else _updated_mean(mean, sample)
        self._overall = _updated_mean(self._overall, sample) if self._is_started else sample
        self._is_started = True
        self._sampled_at_by_key[key] = now

    def of(self, key: str) -> float:
        """Return the estimate for a key."""
        return self._mean_by_key.get(key, self._overall)

    def sampled_at(self, key: str) -> float:
        """Return the time of the key's newest sample; minus infinity if there is none."""
        return self._sampled_at_by_key.get(key, float("-inf"))

    def forget(self, key: str) -> None:
        """Remove the average of a key, so that the average over all keys applies."""
        self._mean_by_key.pop(key, None)
        self._sampled_at_by_key.pop(key, None)


class SpeedBook:
    """Estimates of one shard.

    Load pattern: engines and links whose speeds differ and change, such as one that has become
    slow. With ``learns`` false, the estimates of speeds keep their starting values.

    Example
    -------
    ::

        book = SpeedBook(StartingSpeeds())
        book.prefill.add("diag-1", 0.25 / 2000, now)
        book.prefill.of("diag-1")
    """

    def __init__(self, start: StartingSpeeds, learns: bool = True) -> None:
        self.prefill = Estimate(start.prefill)
        self.interval = Estimate(start.interval)
        self.transfer = Estimate(start.transfer)
        self.answer_fraction = Estimate(start.answer_fraction)
        self._learns = learns

    def record_prefill(self, engine: str, tokens: int, seconds: float, now: float) -> None:
        """Add a finished prefill of ``tokens`` tokens that were not cached."""
        if self._learns and tokens > 0:
            self.prefill.add(engine, seconds / tokens, now)

    def record_transfer(self, link: str, tokens: int, seconds: float, now: float) -> None:
        """Add a finished KV transfer of ``tokens`` tokens."""
        if self._learns and tokens > 0:
            self.transfer.add(link, seconds / tokens, now)

    def record_decode(self, engine: str, tokens: int, seconds: float, now: float) -> None:
        """Add a decode of ``tokens`` tokens; one of fewer than four is ignored as too short."""
        if self._learns and tokens >= 4:
            self.interval.add(engine, seconds / tokens, now)

    def record_answer_length(self, kind: str, tokens: int, max_tokens: int, now: float) -> None:
        """Add an answer's length, as a share of its limit, to the average of a kind of requests."""
        if max_tokens > 0:
            self.answer_fraction.add(kind, min(1.0, tokens / max_tokens), now)

    def forget_engine(self, engine: str) -> None:
        """Remove the estimated prefill and decoding speeds of an engine that has left."""
        self.prefill.forget(engine)
        self.interval.forget(engine)


def _updated_mean(mean: float, sample: float) -> float:
    return mean + NEW_SAMPLE_WEIGHT * (sample - mean)
