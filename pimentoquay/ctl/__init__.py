"""The operators' command line."""

__all__: list[str] = []
