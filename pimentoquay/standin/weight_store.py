"""Stand-in for the store of model weights, whose limited rate is shared by its readers."""

from collections.abc import Mapping

from pimentoquay.standin.link import Link

__all__ = ["StandinWeights"]

DEFAULT_SIZE_BYTES = 2_000_000_000
"""Size in bytes of a version whose size was not given."""

DEFAULT_BYTES_PER_SECOND = 1e9
"""Default total rate of all readers, in bytes per second."""


class StandinWeights:
    """Store of model weights with rate-limited reads; it implements ``WeightStoreClient``.

    Parameters
    ----------
    rate
        Total rate of all readers, in bytes per second.
    size_by_version
        Size in bytes of each version; others have ``DEFAULT_SIZE_BYTES``.
    """

    def __init__(
        self,
        rate: float = DEFAULT_BYTES_PER_SECOND,
        size_by_version: Mapping[str, int] | None = None,
    ) -> None:
        self._link = Link(rate)
        self._size_by_version = dict(size_by_version or {})
        self.bytes_read = 0
        self.active_reads = 0
        self.max_concurrent_reads = 0

    async def size_of(self, model: str, version: str) -> int:
        """Return the size in bytes of the weights of a version."""
        return self._size_by_version.get(version, DEFAULT_SIZE_BYTES)

    async def fetch(self, model: str, version: str) -> None:
        """Simulate a read of the weights of a version; return when it is complete."""
        size = await self.size_of(model, version)
        self.active_reads += 1
        self.max_concurrent_reads = max(self.max_concurrent_reads, self.active_reads)
        try:
            await self._link.move(size)
        finally:
            self.active_reads -= 1
        self.bytes_read += size
