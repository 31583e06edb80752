"""Entries of engines that another writer may leave in the store, each invalid in one field."""

import json

__all__ = ["ENTRY", "HALF", "TEXTS", "sound_entry"]

HALF = "v1 \ud83d"
"""A text that was cut within a character, as JSON writes one."""

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


TEXTS = {
    f"{name} cut within a character": sound_entry(**{name: HALF})
    for name in ("service", "zone", "version", "stage", "state")
}
