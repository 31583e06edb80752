"""Pure decisions on admission, queueing, placement, links, prefixes, retries and circuits.

Nothing here awaits, reads a clock or logs; the time is passed in.
"""

__all__: list[str] = []
