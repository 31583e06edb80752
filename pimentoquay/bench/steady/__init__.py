"""The steady state of many real control processes: processor time, memory and traffic of each."""

__all__: list[str] = []
