"""The scheduler of a pool shard: ledger of grants, queue, leases of entries, rebuild and sweep."""

__all__: list[str] = []
