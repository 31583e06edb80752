"""Subcommands of ``pimentoquay-ctl``, each in its own module."""

__all__: list[str] = []
