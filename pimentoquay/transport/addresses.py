"""Addresses of servers as ``host:port``."""

import ipaddress
import re
from functools import lru_cache

from pimentoquay.kernel.input_checks import describe

__all__ = ["check_address", "split_address"]

MAX_PORT = 65535

CHECKED_ADDRESSES = 8192
"""Number of addresses that are kept as checked, since entries come again with each heartbeat."""

_PORT = re.compile(r"[0-9]{1,5}")
_HOST_NAME = re.compile(r"(?=.{1,253}\Z)[a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63})*", re.IGNORECASE)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise a ``ValueError`` that contains the address if it is malformed.

    The port may be zero, which stands for any free port to listen at.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"expected IP:PORT, got {describe(address)}")
    return host, int(port)


@lru_cache(maxsize=CHECKED_ADDRESSES)
def check_address(address: str) -> str:
    """Return the address of a server; raise ``ValueError`` if no connection to it can be tried.

    The host is an IP address or a name that can be resolved, the port is between 1 and 65535.

    Example
    -------
    >>> check_address("10.0.0.1:80")
    '10.0.0.1:80'
    """
    host, port = split_address(address)
    if not port or not (_is_ip_address(host) or _is_host_name(host)):
        raise ValueError(f"{describe(address)}: cannot be connected")
    return address


def _is_ip_address(host: str) -> bool:
    # A zone can be any text.
    if "%" in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_host_name(host: str) -> bool:
    try:
        encoded = host.encode("idna").decode("ascii")
    except UnicodeError:
        return False
    return _HOST_NAME.fullmatch(encoded) is not None
