"""Workspaces: templates, documents and their checks, the fold of the log, publishing."""

__all__: list[str] = []
