"""Which backend server of a plain service gets a request.

Load pattern: short calls, well within capacity, while one server is slow, fails part of its calls
or has gone silent, in the caller's own data centre as likely as elsewhere. Servers are compared by
the time that a call is expected to cost there, failures counted as the time that they waste, so
the near one is used until it serves worse than a far one.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from pimentoquay.policy.fleet import EngineEntry

__all__ = ["EngineExperience", "choose_engine"]

FAR_SECONDS = 0.004
"""What another data centre costs a call: there and back, in seconds."""

FAILURE_SECONDS = 0.5
"""What a failed call costs its caller, in seconds: about the wait before it is noticed."""

SMOOTHING = 0.15
"""The weight of the newest call in the averages; about the last dozen calls count."""

FORGET_SECONDS = 4.0
"""The time in which half of a bad experience is forgotten, so that a mended server is tried."""

EXPECTED_SECONDS = 0.03
"""What a call is taken to last at a server that has not been used."""


@dataclass
class EngineExperience:
    """What one VM has seen of one server; times in seconds."""

    seconds: float = EXPECTED_SECONDS
    failure_share: float = 0.0
    outstanding: int = 0
    noted_at: float = 0.0

    def note(self, seconds: float, has_failed: bool, now: float) -> None:
        """Count a call that ended."""
        self._fade(now)
        self.seconds += SMOOTHING * (seconds - self.seconds)
        self.failure_share += SMOOTHING * (float(has_failed) - self.failure_share)

    def cost(self, now: float, slots: int) -> float:
        """Return the seconds that a call is expected to cost here."""
        self._fade(now)
        queueing = 1.0 + self.outstanding / max(1, slots)
        return self.seconds * queueing + FAILURE_SECONDS * self.failure_share

    def _fade(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self.noted_at) / FORGET_SECONDS)
        self.seconds = EXPECTED_SECONDS + (self.seconds - EXPECTED_SECONDS) * kept
        self.failure_share *= kept
        self.noted_at = now


def choose_engine(
    engines: Iterable[EngineEntry],
    experience_by_id: dict[str, EngineExperience],
    data_centre: str,
    now: float,
    avoid: Collection[str] = (),
) -> EngineEntry | None:
    """Return the server that is expected to cost least, or ``None`` if there is none."""
    best: tuple[float, str] | None = None
    chosen: EngineEntry | None = None
    for engine in engines:
        if engine.id in avoid or engine.is_draining:
            continue
        experience = experience_by_id.setdefault(engine.id, EngineExperience(noted_at=now))
        cost = experience.cost(now, engine.slots)
        cost += 0.0 if engine.data_centre == data_centre else FAR_SECONDS
        if best is None or (cost, engine.id) < best:
            best, chosen = (cost, engine.id), engine
    return chosen
