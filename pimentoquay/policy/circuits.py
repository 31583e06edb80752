"""Circuits keyed by what refused: an engine or a link, never a request.

A refusal opens the circuit at once; an error only after a grace count. When the wait is over,
exactly one probe may go, and the rest keep waiting for its outcome.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["CircuitLimits", "CircuitState", "Circuits"]


class CircuitState(Enum):
    """What may be sent to one key."""

    CLOSED = "closed"
    WAITING = "waiting"
    PROBE_DUE = "probe due"
    PROBING = "probing"


@dataclass(frozen=True)
class CircuitLimits:
    """Waits in seconds, and how many errors in a row are forgiven."""

    first_wait: float = 0.25
    longest_wait: float = 1.0
    error_grace: int = 1


@dataclass
class _Circuit:
    errors: int = 0
    wait: float = 0.0
    open_until: float = 0.0
    probe: str = ""


class Circuits:
    """The circuits of one shard; a key without a circuit is well."""

    def __init__(self, limits: CircuitLimits) -> None:
        self._limits = limits
        self._circuit_by_key: dict[str, _Circuit] = {}

    def state(self, key: str, now: float) -> CircuitState:
        """Return what may be sent to a key now."""
        circuit = self._circuit_by_key.get(key)
        if circuit is None or circuit.wait == 0.0:
            return CircuitState.CLOSED
        if circuit.probe:
            return CircuitState.PROBING
        if now < circuit.open_until:
            return CircuitState.WAITING
        return CircuitState.PROBE_DUE

    def open_keys(self) -> tuple[str, ...]:
        """Return every key that has refused or failed since it last succeeded."""
        return tuple(self._circuit_by_key)

    def begin_probe(self, key: str, request_id: str, now: float) -> None:
        """Make a request the probe; ``ValueError`` unless one is due."""
        if self.state(key, now) is not CircuitState.PROBE_DUE:
            raise ValueError(f"no probe of {key!r} is due, it is {self.state(key, now).value}")
        self._circuit_by_key[key].probe = request_id

    def end_probe(self, key: str, request_id: str) -> None:
        """Note that a probe ended without telling anything; another may go."""
        circuit = self._circuit_by_key.get(key)
        if circuit is not None and circuit.probe == request_id:
            circuit.probe = ""

    def refused(self, key: str, now: float, retry_after: float = 0.0) -> None:
        """Count a refusal."""
        self._open(self._circuit_by_key.setdefault(key, _Circuit()), now, retry_after)

    def failed(self, key: str, now: float) -> None:
        """Count an error, which opens the circuit once the grace is used up."""
        circuit = self._circuit_by_key.setdefault(key, _Circuit())
        circuit.errors += 1
        if circuit.errors > self._limits.error_grace or circuit.probe:
            self._open(circuit, now, 0.0)

    def succeeded(self, key: str) -> None:
        """Close the circuit."""
        self._circuit_by_key.pop(key, None)

    def retry_in(self, key: str, now: float) -> float:
        """Return the seconds until a probe may go."""
        circuit = self._circuit_by_key.get(key)
        return max(0.0, circuit.open_until - now) if circuit is not None else 0.0

    def _open(self, circuit: _Circuit, now: float, retry_after: float) -> None:
        if circuit.wait and not circuit.probe:
            return  # Answers to requests sent before the circuit opened prove nothing new.
        limits = self._limits
        circuit.wait = min(limits.longest_wait, circuit.wait * 2 or limits.first_wait)
        circuit.open_until = now + min(limits.longest_wait, max(circuit.wait, retry_after))
        circuit.probe = ""
