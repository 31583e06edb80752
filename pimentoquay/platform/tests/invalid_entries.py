"""Entries of engines that another writer may leave in the store, each invalid in one field."""

import json

__all__ = [
    "ADDRESSES",
    "ENTRY",
    "HALF",
    "INVALID_ENTRIES",
    "NESTED",
    "NUMBERS",
    "TEXTS",
    "sound_entry",
]

HALF = "v1 \ud83d"
"""A text that was cut within a character, as JSON writes one."""

DEEP = "[" * 100_000 + "]" * 100_000

ENTRY = {
    "service": "desk",
    "address": "127.9.9.9:80",
    "zone": "hall",
    "version": "v1",
    "slotCount": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
    "born": 1,
}


def sound_entry(**changes) -> bytes:
    return json.dumps(ENTRY | changes).encode()


def _literal(name: str, literal: str) -> bytes:
    """Return an entry with a field whose JSON text is given."""
    return sound_entry(**{name: "@"}).replace(b'"@"', literal.encode())


TEXTS = {
    f"{name} cut within a character": sound_entry(**{name: HALF})
    for name in ("service", "zone", "version", "stage", "state")
}

NUMBERS = {
    f"{name} = {literal[:12]}": _literal(name, literal)
    for name in ("slotCount", "born", "seq")
    for literal in (
        "1" + "0" * 4000,
        "1" + "0" * 5000,
        str(2**63),
        "-1",
        "1e400",
        "NaN",
        "-Infinity",
        "true",
        "6.5",
    )
}

NESTED = {
    f"deeply nested {name}": _literal(name, DEEP)
    for name in ("service", "zone", "slotCount", "another")
} | {
    "deeply nested and cut": b"[" * 100_000,
    "deeply nested objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
}

ADDRESSES = {
    f"address {address[:20]!r}": sound_entry(address=address)
    for address in (
        "127.9..9:80",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999999999",
        "127.0.0.1:-1",
        "127.0.0.1:+80",
        "127.0.0.1: 80",
        "127.0.0.1:８０",
        "127.0.0.1:²",
        "127.0.0.1:1_0",
        "127.0.0.1:" + "1" * 5000,
        "127.0.0.1:",
        ":80",
        "80",
        " :80",
        "a b:80",
        "a\x00b:80",
        "a\r\nX: y:80",
        "\ud83d:80",
        "ﬂ" * 40 + ":80",
        "a" * 64 + ".example:80",
        "a." * 130 + "a:80",
        ".example:80",
        "http://127.0.0.1:80",
        "user@127.0.0.1:80",
        "fe80::1%a\r\nb:80",
    )
}

INVALID_ENTRIES = {**TEXTS, **NUMBERS, **NESTED, **ADDRESSES}
