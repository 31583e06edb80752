"""Orders to engines: wanted and observed state, fencing, reconciliation, once-only keys."""

from pimentoquay.orders.keys import *  # noqa: F403
from pimentoquay.orders.keys import __all__ as _keys

__all__ = [*_keys]
