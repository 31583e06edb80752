"""Ledger of the tokens that the gateways have sent to each engine and that the engine still holds.

Gateways keep one for the prompts at the prefill engines.

Load pattern: a burst spread over many VMs that each receive a fraction of the requests. Each VM
reports the number of its tokens on each engine to the others. The sums over all VMs show which
engine has the shortest queue, without a request to the engines.
"""

from collections.abc import Mapping

__all__ = ["TokenLedger"]


class TokenLedger:
    """Ledger of the tokens of this VM and of its peers, by engine.

    Load pattern: a burst spread over many VMs that each receive a fraction of the requests.
    """

    def __init__(self) -> None:
        self._own_by_engine: dict[str, int] = {}
        self._tokens_by_engine_by_vm: dict[str, Mapping[str, int]] = {}

    def take(self, engine: str, tokens: int) -> None:
        """Add tokens of a request that this VM has sent to an engine."""
        self._own_by_engine[engine] = self._own_by_engine.get(engine, 0) + tokens

    def release(self, engine: str, tokens: int) -> None:
        """Remove tokens that were added, as the engine no longer holds them."""
        self._own_by_engine[engine] -= tokens
        if self._own_by_engine[engine] == 0:
            del self._own_by_engine[engine]

    def own(self) -> dict[str, int]:
        """Return the tokens of this VM, by engine."""
        return dict(self._own_by_engine)

    def set_peer(self, vm: str, tokens_by_engine: Mapping[str, int]) -> None:
        """Replace the tokens of a peer by those that it has reported."""
        self._tokens_by_engine_by_vm[vm] = tokens_by_engine

    def remove_peer(self, vm: str) -> None:
        """Remove the tokens of a peer that is lost."""
        self._tokens_by_engine_by_vm.pop(vm, None)

    def held(self, engine: str) -> int:
        """Return the number of tokens that all VMs have on an engine."""
        peers = self._tokens_by_engine_by_vm.values()
        return self._own_by_engine.get(engine, 0) + sum(each.get(engine, 0) for each in peers)
