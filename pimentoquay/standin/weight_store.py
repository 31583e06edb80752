"""The store of model weights, which shares a limited rate between its readers."""

from collections.abc import Mapping

from pimentoquay.standin.link import Link

__all__ = ["StandinWeights"]

DEFAULT_SIZE = 2_000_000_000
"""Bytes of a version whose size was not given."""

DEFAULT_RATE = 1e9
"""Bytes a second for all readers together."""


class StandinWeights:
    """Sizes and rate-limited reads; it implements ``WeightStoreClient``.

    Parameters
    ----------
    rate
        Bytes a second, for all readers together.
    size_by_version
        The size in bytes of each version by its name; others have ``DEFAULT_SIZE``.
    """

    def __init__(
        self, rate: float = DEFAULT_RATE, size_by_version: Mapping[str, int] | None = None
    ) -> None:
        self._link = Link(rate)
        self._size_by_version = dict(size_by_version or {})
        self.bytes_read = 0
        self.reads_under_way = 0
        self.most_reads_at_once = 0

    async def size_of(self, model: str, version: str) -> int:
        """Return the size in bytes of one version's weights."""
        return self._size_by_version.get(version, DEFAULT_SIZE)

    async def fetch(self, model: str, version: str) -> None:
        """Wait until the weights of one version have been read."""
        size = await self.size_of(model, version)
        self.reads_under_way += 1
        self.most_reads_at_once = max(self.most_reads_at_once, self.reads_under_way)
        try:
            await self._link.move(size)
        finally:
            self.reads_under_way -= 1
        self.bytes_read += size
