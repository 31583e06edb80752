"""The entry process: callers' HTTP, the life of a request, relay, resume and drain."""

__all__: list[str] = []
