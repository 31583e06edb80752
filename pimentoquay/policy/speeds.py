"""Learned speeds of engines and links, and learned lengths of answers.

Every estimate is an exponentially weighted mean of what entries reported; an engine without a
report of its own is judged by the mean over all engines of the shard, and before any report by
the configured values.
"""

from dataclasses import dataclass

__all__ = ["Estimate", "SpeedBook", "StartingSpeeds"]

NEW_SAMPLE_WEIGHT = 0.2
"""Weight of the newest sample in a mean."""


@dataclass(frozen=True)
class StartingSpeeds:
    """What is assumed before the first report; seconds per token, and tokens of an answer."""

    prefill: float = 0.0005
    interval: float = 0.03
    transfer: float = 0.0001
    answer_fraction: float = 1.0


class Estimate:
    """One weighted mean per key, with the mean over all keys as the fallback."""

    def __init__(self, start: float) -> None:
        self._mean_by_key: dict[str, float] = {}
        self._sampled_at_by_key: dict[str, float] = {}
        self._overall = start
        self._is_started = False

    def add(self, key: str, sample: float, now: float) -> None:
        """Take in one sample for a key; negative samples are refused."""
        if sample < 0:
            raise ValueError(f"a sample must not be negative, got {sample}")
        mean = self._mean_by_key.get(key)
        self._mean_by_key[key] = sample if mean is None else _mixed(mean, sample)
        self._overall = _mixed(self._overall, sample) if self._is_started else sample
        self._is_started = True
        self._sampled_at_by_key[key] = now

    def of(self, key: str) -> float:
        """Return the estimate for a key."""
        return self._mean_by_key.get(key, self._overall)

    def sampled_at(self, key: str) -> float:
        """Return when the key's newest sample came; minus infinity if none did."""
        return self._sampled_at_by_key.get(key, float("-inf"))

    def forget(self, key: str) -> None:
        """Drop what is known of a key."""
        self._mean_by_key.pop(key, None)
        self._sampled_at_by_key.pop(key, None)


class SpeedBook:
    """The estimates of one shard.

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

    def saw_prefill(self, engine: str, tokens: int, seconds: float, now: float) -> None:
        """Learn from a finished prefill of ``tokens`` that were not cached."""
        if self._learns and tokens > 0:
            self.prefill.add(engine, seconds / tokens, now)

    def saw_transfer(self, link: str, tokens: int, seconds: float, now: float) -> None:
        """Learn from a finished KV transfer."""
        if self._learns and tokens > 0:
            self.transfer.add(link, seconds / tokens, now)

    def saw_decode(self, engine: str, tokens: int, seconds: float, now: float) -> None:
        """Learn from a stretch of decoding; short ones say too little."""
        if self._learns and tokens >= 4:
            self.interval.add(engine, seconds / tokens, now)

    def saw_answer(self, kind: str, tokens: int, max_tokens: int, now: float) -> None:
        """Learn how much of its limit an answer of this kind uses."""
        if max_tokens > 0:
            self.answer_fraction.add(kind, min(1.0, tokens / max_tokens), now)

    def forget_engine(self, engine: str) -> None:
        """Drop what is known of an engine that left."""
        self.prefill.forget(engine)
        self.interval.forget(engine)


def _mixed(mean: float, sample: float) -> float:
    return mean + NEW_SAMPLE_WEIGHT * (sample - mean)
