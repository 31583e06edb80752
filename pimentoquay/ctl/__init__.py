"""Command-line tool for operators, ``pimentoquay-ctl``."""

__all__: list[str] = []
