"""Membership list, liveness of VMs and ownership of shards."""

from pimentoquay.membership.events import *  # noqa: F403
from pimentoquay.membership.events import __all__ as _events
from pimentoquay.membership.ownership import *  # noqa: F403
from pimentoquay.membership.ownership import __all__ as _ownership

__all__ = [*_events, *_ownership]
