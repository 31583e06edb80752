"""The proof that both ends of a new channel know the shared key.

Each side signs the other's fresh random bytes, so a recorded exchange cannot be replayed. The
functions are pure; ``websocket`` sends and receives what they make.
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
_DIALLING = b"dialling"
_ACCEPTING = b"accepting"


class HandshakeError(PimentoquayError):
    """The peer speaks another version or does not know the key."""


def make_challenge() -> Challenge:
    """Return a challenge with fresh random bytes."""
    return Challenge(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES))


def make_hello(identity: Identity, key: bytes, challenge: Challenge) -> Hello:
    """Answer a challenge as ``identity``."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(key, _DIALLING, challenge.nonce, nonce, identity)
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
    """Return who dials; ``HandshakeError`` for a newer version or a wrong key."""
    if hello.version > PROTOCOL_VERSION:
        raise HandshakeError(
            ResultCode.VERSION_UNSUPPORTED, f"{hello.version}, newest known {PROTOCOL_VERSION}"
        )
    identity = _identity(hello)
    expected = _mac(key, _DIALLING, challenge.nonce, hello.nonce, identity)
    if len(hello.nonce) != NONCE_BYTES or not hmac.compare_digest(expected, hello.mac):
        raise HandshakeError(ResultCode.PEER_UNKNOWN, f"{hello.vm!r} as {hello.process!r}")
    return identity


def make_welcome(identity: Identity, key: bytes, challenge: Challenge, hello: Hello) -> Welcome:
    """Prove to the dialling side that this side knows the key too."""
    return Welcome(
        identity.vm,
        identity.process,
        identity.region,
        identity.data_centre,
        identity.incarnation,
        _mac(key, _ACCEPTING, challenge.nonce, hello.nonce, identity),
    )


def check_welcome(welcome: Welcome, key: bytes, challenge: Challenge, hello: Hello) -> Identity:
    """Return who accepted; ``HandshakeError`` for a wrong key."""
    identity = _identity(welcome)
    expected = _mac(key, _ACCEPTING, challenge.nonce, hello.nonce, identity)
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
