"""Tokens that all gateways have at each engine, such as prompts that wait to be read.

Load pattern: a burst spread over many VMs that each see a fraction of the requests. Each tells the
others what it has where; the sums show the shortest queue without asking the engines.
"""

from collections.abc import Mapping

__all__ = ["TokenLedger"]


class TokenLedger:
    """Tokens of this VM and of its peers, by engine."""

    def __init__(self) -> None:
        self._own_by_engine: dict[str, int] = {}
        self._tokens_by_engine_by_vm: dict[str, Mapping[str, int]] = {}

    def take(self, engine: str, tokens: int) -> None:
        """Count tokens of this VM."""
        self._own_by_engine[engine] = self._own_by_engine.get(engine, 0) + tokens

    def release(self, engine: str, tokens: int) -> None:
        """Count the end of tokens of this VM."""
        self._own_by_engine[engine] -= tokens
        if self._own_by_engine[engine] == 0:
            del self._own_by_engine[engine]

    def own(self) -> dict[str, int]:
        """Return the tokens of this VM, by engine."""
        return dict(self._own_by_engine)

    def set_peer(self, vm: str, tokens_by_engine: Mapping[str, int]) -> None:
        """Take a peer's own account."""
        self._tokens_by_engine_by_vm[vm] = tokens_by_engine

    def drop_peer(self, vm: str) -> None:
        """Forget a peer that has gone."""
        self._tokens_by_engine_by_vm.pop(vm, None)

    def held(self, engine: str) -> int:
        """Return the tokens that all VMs have at an engine."""
        peers = self._tokens_by_engine_by_vm.values()
        return self._own_by_engine.get(engine, 0) + sum(each.get(engine, 0) for each in peers)
