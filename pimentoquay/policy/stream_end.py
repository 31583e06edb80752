"""Decide whether a stream has ended if a run of it sent no event.

The end of a stream is known from its last run only: a run that sends events and ends in order has
sent the last one. A run that sends none is the end of the stream if all events had come before, as
after the loss of the bytes behind the last event. It may also be that of a faulty engine.
"""

from collections.abc import Set

__all__ = ["is_end_confirmed"]

CONFIRMATIONS = 2
"""Engines that have to agree that no event is left."""


def is_end_confirmed(tokens: int, max_tokens: int | None, engines: Set[str]) -> bool:
    """Return whether a stream has ended after runs that went on with it and sent no event.

    Load pattern: streams that break off at any place and go on at other engines, of which some
    answer with an empty stream. A stream that ends there looks complete, though pieces are missing.

    Parameters
    ----------
    tokens
        Tokens in the events that the caller has, 0 if the stream has not begun.
    max_tokens
        Maximum number of tokens of the stream, or None if it has none.
    engines
        Ids of the engines that have sent no event.

    Example
    -------
    >>> is_end_confirmed(64, 8320, {"dec-1"}), is_end_confirmed(64, 8320, {"dec-1", "dec-2"})
    (False, True)
    >>> is_end_confirmed(64, 64, {"dec-1"})
    True
    """
    if tokens <= 0:
        return False
    is_full = max_tokens is not None and tokens >= max_tokens
    return is_full or len(engines) >= CONFIRMATIONS
