"""The subcommands of ``pimentoquay-ctl``, one module each."""

__all__: list[str] = []
