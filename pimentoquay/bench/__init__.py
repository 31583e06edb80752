"""Load tests, comparison of policies, seeded faults, cost measurements and reports."""

__all__: list[str] = []
