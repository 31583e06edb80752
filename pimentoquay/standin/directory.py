"""Lookup of the engines of one process by address, for KV transfers between them."""

from pimentoquay.backends.base import EngineLostError
from pimentoquay.standin.engine_model import KvSource

__all__ = ["EngineDirectory"]


class EngineDirectory:
    """Engines of one process by address, as the ``find_peer`` function of a stand-in engine.

    Example
    -------
    ::

        directory = EngineDirectory()
        directory.engine_by_address["10.0.0.1:7101"] = engine
    """

    def __init__(self) -> None:
        self.engine_by_address: dict[str, KvSource] = {}

    def __call__(self, address: str) -> KvSource:
        """Return the engine at an address; raise ``EngineLostError`` if there is none."""
        engine = self.engine_by_address.get(address)
        if engine is None:
            raise EngineLostError(f"no engine at {address}")
        return engine
