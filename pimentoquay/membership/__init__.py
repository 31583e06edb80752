"""Who is live, who owns what: the VM list, shard ownership, leases and fencing numbers."""

from pimentoquay.membership.ownership import *  # noqa: F403
from pimentoquay.membership.ownership import __all__ as __all__
