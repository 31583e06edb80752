"""Load, comparison of policies, seeded faults, slopes and reports."""

__all__: list[str] = []
