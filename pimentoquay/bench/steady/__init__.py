"""Steady-state benchmark: processor time, memory and traffic of many real control processes."""

__all__: list[str] = []
