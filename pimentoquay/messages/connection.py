"""Messages that open a channel between two processes (numbers 1 to 19).

The accepting side sends ``Challenge``, the dialling side ``Hello``, the accepting side
``Welcome`` or ``Rejected``. The shape of these four never changes, so that any two versions can
refuse each other by number.
"""

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.messages.codec import message

__all__ = ["PROTOCOL_VERSION", "Challenge", "Hello", "Rejected", "Welcome"]

PROTOCOL_VERSION = 1
"""The newest version of the messages that this package speaks."""


@message(1)
class Challenge:
    """The accepting side's fresh random bytes, which make a recorded ``Hello`` worthless."""

    version: int
    nonce: bytes


@message(2)
class Hello:
    """Who dials, proved by a MAC over both nonces and every other field."""

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
    """Who accepted, proved by a MAC over both nonces and every other field."""

    vm: str
    process: str
    region: str
    data_centre: str
    incarnation: int
    mac: bytes


@message(4)
class Rejected:
    """The numbered reason why the channel is closed."""

    code: ResultCode
    detail: str
