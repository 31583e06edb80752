"""Stand-ins for engines, plain services and the platform, in-process and over HTTP."""

__all__: list[str] = []
