"""Clients of the platform services: log service, membership list and weight store."""

from pimentoquay.services.base import *  # noqa: F403
from pimentoquay.services.base import __all__ as __all__
