"""Clients of backend servers: model engines and plain services, implemented as plug-ins."""

from pimentoquay.backends.base import *  # noqa: F403
from pimentoquay.backends.base import __all__ as __all__
