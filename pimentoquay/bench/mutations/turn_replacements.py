"""Replacements for the mechanisms that bound the work of one read.

Each function takes the original function or method of a mechanism and returns a replacement that
lacks the mechanism.
"""

from typing import Any

import h11

__all__ = [
    "count_bodies_only",
    "fail_at_once",
    "handle_all_items",
    "keep_chunks_apart",
    "return_all_events",
    "search_from_the_start",
]


def handle_all_items(original: Any) -> Any:
    """Handle all items of a read at once."""

    def handle_items(self: Any) -> bool:
        while original(self):
            pass
        return False

    return handle_items


def keep_chunks_apart(original: Any) -> Any:
    """Let the reader of a response have each chunk by itself."""

    def add_data(self: Any, data: bytes) -> None:
        self._buffered_bytes += len(data)
        self._events.append(h11.Data(data=data))

    return add_data


def fail_at_once(original: Any) -> Any:
    """Fail a response at the end of its connection, whatever of it is not handled yet."""

    def connection_lost(self: Any, exc: Exception | None) -> None:
        original(self, exc)
        self.abort()

    return connection_lost


def count_bodies_only(original: Any) -> Any:
    """Discard any number of responses to other requests, and headers of any size."""

    def discard_event(self: Any, event: Any) -> bool:
        if isinstance(event, h11.Response):
            return True
        return bool(original(self, event))

    return discard_event


def return_all_events(original: Any) -> Any:
    """Return all events of a read at once."""
    return lambda self, data, max_events=None: original(self, data)


def search_from_the_start(original: Any) -> Any:
    """Search an incomplete event from its start for each chunk that follows."""

    def feed(self: Any, data: bytes, max_events: int | None = None) -> Any:
        self._searched = 0
        return original(self, data, max_events)

    return feed
