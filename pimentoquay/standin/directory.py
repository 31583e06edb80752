"""Finds the peer engine that an engine fetches KV cache from."""

from pimentoquay.backends.base import EngineLostError
from pimentoquay.standin.engine_model import KvSource

__all__ = ["EngineDirectory"]


class EngineDirectory:
    """Engines of one process by address.

    Example
    -------
    ::

        directory = EngineDirectory()
        directory.engine_by_address["10.0.0.1:7101"] = engine
    """

    def __init__(self) -> None:
        self.engine_by_address: dict[str, KvSource] = {}

    def __call__(self, address: str) -> KvSource:
        """Return the engine at an address; ``EngineLostError`` if none is known there."""
        engine = self.engine_by_address.get(address)
        if engine is None:
            raise EngineLostError(f"no engine at {address}")
        return engine
