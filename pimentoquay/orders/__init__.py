"""Orders to engines, and idempotency keys.

One part of the control process reconciles the desired state of engines with the state that they
report, under leases with fencing numbers. Another part decides claims of idempotency keys.
"""

from pimentoquay.orders.keys import *  # noqa: F403
from pimentoquay.orders.keys import __all__ as _keys

__all__ = [*_keys]
