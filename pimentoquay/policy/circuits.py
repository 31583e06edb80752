"""Circuit breakers for engines and for links between engines.

A refusal opens a circuit at once, an error only after a number of tolerated errors. When the wait
of an open circuit is over, exactly one request is let through as a probe; all others keep waiting
for its outcome.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["CircuitLimits", "CircuitState", "Circuits"]


class CircuitState(Enum):
    """State of a circuit.

    ``CLOSED`` lets all requests through, ``WAITING`` and ``PROBING`` none, and ``PROBE_DUE`` one.
    """

    CLOSED = "closed"
    WAITING = "waiting"
    PROBE_DUE = "probe due"
    PROBING = "probing"


@dataclass(frozen=True)
class CircuitLimits:
    """Limits of circuits.

    An open circuit waits for ``first_wait`` seconds, and for twice as long after each failed probe,
    up to ``longest_wait``. ``error_grace`` is the number of consecutive errors that are tolerated.
    """

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
    """Circuits of one shard, by the key of an engine or of one side of a link, never of a request.

    Failure pattern: an engine or a link that refuses or fails requests for a while. A key for which
    nothing is recorded counts as healthy.
    """

    def __init__(self, limits: CircuitLimits) -> None:
        self._limits = limits
        self._circuit_by_key: dict[str, _Circuit] = {}

    def state(self, key: str, now: float) -> CircuitState:
        """Return the state of a key's circuit."""
        circuit = self._circuit_by_key.get(key)
        if circuit is None or circuit.wait == 0.0:
            return CircuitState.CLOSED
        if circuit.probe:
            return CircuitState.PROBING
        if now < circuit.open_until:
            return CircuitState.WAITING
        return CircuitState.PROBE_DUE

    def open_keys(self) -> tuple[str, ...]:
        """Return the keys with a refusal or an error since their last success."""
        return tuple(self._circuit_by_key)

    def begin_probe(self, key: str, request_id: str, now: float) -> None:
        """Let a request through as the probe; raise ``ValueError`` unless a probe is due."""
        if self.state(key, now) is not CircuitState.PROBE_DUE:
            raise ValueError(
                f"no probe of {key!r} is due, its circuit is {self.state(key, now).value}"
            )
        self._circuit_by_key[key].probe = request_id

    def end_probe(self, key: str, request_id: str) -> None:
        """End a probe that neither succeeded nor failed, so that another one is due."""
        circuit = self._circuit_by_key.get(key)
        if circuit is not None and circuit.probe == request_id:
            circuit.probe = ""

    def refused(self, key: str, now: float, retry_after: float = 0.0) -> None:
        """Record a refusal, which opens the circuit for at least ``retry_after`` seconds.

        ``longest_wait`` is the upper bound in any case.
        """
        self._open(self._circuit_by_key.setdefault(key, _Circuit()), now, retry_after)

    def failed(self, key: str, now: float) -> None:
        """Record an error, which opens the circuit if no more errors are tolerated."""
        circuit = self._circuit_by_key.setdefault(key, _Circuit())
        circuit.errors += 1
        if circuit.errors > self._limits.error_grace or circuit.probe:
            self._open(circuit, now, 0.0)

    def succeeded(self, key: str) -> None:
        """Record a success, which closes the circuit."""
        self._circuit_by_key.pop(key, None)

    def retry_in(self, key: str, now: float) -> float:
        """Return the time in seconds until a probe is due."""
        circuit = self._circuit_by_key.get(key)
        return max(0.0, circuit.open_until - now) if circuit is not None else 0.0

    def _open(self, circuit: _Circuit, now: float, retry_after: float) -> None:
        if circuit.wait and not circuit.probe:
            return  # Requests sent before the circuit opened say nothing about the state now.
        limits = self._limits
        circuit.wait = min(limits.longest_wait, circuit.wait * 2 or limits.first_wait)
        circuit.open_until = now + min(limits.longest_wait, max(circuit.wait, retry_after))
        circuit.probe = ""
