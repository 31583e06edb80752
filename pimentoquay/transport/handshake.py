"""Mutual authentication of both ends of a new channel by a shared key.

Each side computes a MAC over the other side's random nonce, so a recorded handshake cannot be
replayed. These functions only create and check messages; the ``websocket`` module sends and
receives them.
"""

import hashlib
import hmac
import secrets

from pimentoquay.kernel import Identity, PimentoquayError, ResultCode
from pimentoquay.messages.connection import PROTOCOL_VERSION, Challenge, Hello, Welcome

__all__ = [
    "HandshakeError",
    "check_hello",
    "check_welcome",
    "make_challenge",
    "make_hello",
    "make_welcome",
]

NONCE_BYTES = 16
"""Size of a nonce in bytes."""

_CONNECTING_SIDE = b"dialling"
_ACCEPTING_SIDE = b"accepting"


class HandshakeError(PimentoquayError):
    """Raised when the peer uses a newer protocol version or does not know the key."""


def make_challenge() -> Challenge:
    """Return a challenge with a new random nonce."""
    return Challenge(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES))


def make_hello(identity: Identity, key: bytes, challenge: Challenge) -> Hello:
    """Return the response of the connecting side, ``identity``, to a challenge."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(key, _CONNECTING_SIDE, challenge.nonce, nonce, identity)
    return Hello(
        PROTOCOL_VERSION,
        identity.vm,
        identity.process,
        identity.region,
        identity.data_centre,
        identity.incarnation,
        nonce,
        mac,
    )


def check_hello(hello: Hello, key: bytes, challenge: Challenge) -> Identity:
    """Return the connecting process; ``HandshakeError`` for a newer version or a wrong key."""
    if hello.version > PROTOCOL_VERSION:
        raise HandshakeError(
            ResultCode.VERSION_UNSUPPORTED, f"{hello.version}, newest known {PROTOCOL_VERSION}"
        )
    identity = _identity(hello)
    expected = _mac(key, _CONNECTING_SIDE, challenge.nonce, hello.nonce, identity)
    if len(hello.nonce) != NONCE_BYTES or not hmac.compare_digest(expected, hello.mac):
        raise HandshakeError(ResultCode.PEER_UNKNOWN, f"{hello.vm!r} as {hello.process!r}")
    return identity


def make_welcome(identity: Identity, key: bytes, challenge: Challenge, hello: Hello) -> Welcome:
    """Return the message that authenticates this side, ``identity``, to the connecting side."""
    return Welcome(
        identity.vm,
        identity.process,
        identity.region,
        identity.data_centre,
        identity.incarnation,
        _mac(key, _ACCEPTING_SIDE, challenge.nonce, hello.nonce, identity),
    )


def check_welcome(welcome: Welcome, key: bytes, challenge: Challenge, hello: Hello) -> Identity:
    """Return the accepting process; ``HandshakeError`` for a wrong key."""
    identity = _identity(welcome)
    expected = _mac(key, _ACCEPTING_SIDE, challenge.nonce, hello.nonce, identity)
    if not hmac.compare_digest(expected, welcome.mac):
        raise HandshakeError(ResultCode.PEER_UNKNOWN, f"{welcome.vm!r} as {welcome.process!r}")
    return identity


def _identity(item: Hello | Welcome) -> Identity:
    return Identity(item.vm, item.process, item.region, item.data_centre, item.incarnation)


def _mac(key: bytes, side: bytes, challenge: bytes, nonce: bytes, identity: Identity) -> bytes:
    digest = hmac.new(key, digestmod=hashlib.sha256)
    parts = (
        side,
        challenge,
        nonce,
        identity.vm.encode(),
        identity.process.encode(),
        identity.region.encode(),
        identity.data_centre.encode(),
        str(identity.incarnation).encode(),
    )
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
