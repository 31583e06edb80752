"""Orders to engines: wanted and observed state, fencing, reconciliation, once-only keys."""

__all__: list[str] = []
