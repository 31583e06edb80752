"""Clients of model engines and plain services, each kind a plug-in behind one interface."""

from pimentoquay.backends.base import *  # noqa: F403
from pimentoquay.backends.base import __all__ as __all__
