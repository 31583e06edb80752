"""Messages that open a channel between two processes (numbers 1 to 19).

The accepting side sends ``Challenge``, the connecting side replies with ``Hello``, and the
accepting side replies with ``Welcome`` or ``Rejected``. The fields of these four never change, so
that any two protocol versions can reject each other with a result code.
"""

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.messages.codec import message

__all__ = ["PROTOCOL_VERSION", "Challenge", "Hello", "Rejected", "Welcome"]

PROTOCOL_VERSION = 1
"""Newest version of the message protocol that this package supports."""


@message(1)
class Challenge:
    """Random nonce of the accepting side, which prevents the replay of a recorded ``Hello``."""

    version: int
    nonce: bytes


@message(2)
class Hello:
    """Identity of the connecting process, authenticated by a MAC over it and both nonces."""

    version: int
    vm: str
    process: str
    region: str
    data_centre: str
    incarnation: int
    nonce: bytes
    mac: bytes


@message(3)
class Welcome:
    """Identity of the accepting process, authenticated by a MAC over it and both nonces."""

    vm: str
    process: str
    region: str
    data_centre: str
    incarnation: int
    mac: bytes


@message(4)
class Rejected:
    """Result code and reason for which the accepting side closes the channel."""

    code: ResultCode
    detail: str
