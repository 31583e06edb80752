"""Who holds how much memory of which decode engine, over all VMs.

Load pattern: bursts of up to twice what the decode engines' memory allows, spread over many VMs
that each see a fraction of the requests. Each VM tells the others what it holds; the sum shows
where there is room without asking the engines.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pimentoquay.policy.fleet import EngineEntry

__all__ = ["TokenLedger", "in_blocks"]

BLOCK_TOKENS = 16
"""Engines give out memory in blocks of so many tokens."""


def in_blocks(tokens: int) -> int:
    """Return the tokens of the blocks that so many tokens take."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


@dataclass
class _Holding:
    tokens: int = 0
    requests: int = 0


class TokenLedger:
    """Reservations of this VM and of its peers, by engine."""

    def __init__(self) -> None:
        self._own_by_engine: dict[str, _Holding] = {}
        self._tokens_by_engine_by_vm: dict[str, Mapping[str, int]] = {}
        self._refused_by_engine: dict[str, tuple[float, int]] = {}

    def take(self, engine: str, tokens: int) -> None:
        """Count a reservation of this VM."""
        holding = self._own_by_engine.setdefault(engine, _Holding())
        holding.tokens += tokens
        holding.requests += 1

    def grow(self, engine: str, tokens: int) -> None:
        """Count that a running request has outgrown its reservation by so many more tokens."""
        self._own_by_engine[engine].tokens += tokens

    def release(self, engine: str, tokens: int) -> None:
        """Count the end of a reservation of this VM."""
        holding = self._own_by_engine[engine]
        holding.tokens -= tokens
        holding.requests -= 1
        if holding.requests == 0:
            del self._own_by_engine[engine]
        self._refused_by_engine.pop(engine, None)

    def own(self) -> dict[str, int]:
        """Return the tokens that this VM holds, by engine."""
        return {engine: holding.tokens for engine, holding in self._own_by_engine.items()}

    def set_peer(self, vm: str, tokens_by_engine: Mapping[str, int]) -> None:
        """Take a peer's own account of what it holds."""
        before = self._tokens_by_engine_by_vm.get(vm, {})
        for engine, tokens in before.items():
            if tokens_by_engine.get(engine, 0) < tokens:
                self._refused_by_engine.pop(engine, None)
        self._tokens_by_engine_by_vm[vm] = tokens_by_engine

    def drop_peer(self, vm: str) -> None:
        """Forget a peer that has gone; its requests have ended with it."""
        self._tokens_by_engine_by_vm.pop(vm, None)

    def note_refused(self, engine: str, tokens: int, until: float) -> None:
        """Note that an engine had no room for so many tokens; believed until a release."""
        self._refused_by_engine[engine] = (until, tokens)

    def held(self, engine: str) -> int:
        """Return the tokens of an engine that all VMs hold."""
        own = self._own_by_engine.get(engine)
        peers = self._tokens_by_engine_by_vm.values()
        return (own.tokens if own else 0) + sum(each.get(engine, 0) for each in peers)

    def room(self, engine: str, capacity: int, now: float) -> int:
        """Return the tokens that may be reserved at an engine, as far as is known."""
        room = capacity - self.held(engine)
        refused = self._refused_by_engine.get(engine)
        if refused is not None and now < refused[0]:
            room = min(room, refused[1] - 1)
        return room

    def candidates(
        self, engines: Sequence[EngineEntry], capacity: int, tokens: int, now: float
    ) -> list[EngineEntry]:
        """Return the engines with room for so many tokens, the emptiest first."""
        room_by_id = {engine.id: self.room(engine.id, capacity, now) for engine in engines}
        fitting = [engine for engine in engines if room_by_id[engine.id] >= tokens]
        return sorted(fitting, key=lambda engine: (-room_by_id[engine.id], engine.id))
