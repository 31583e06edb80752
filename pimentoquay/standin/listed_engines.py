"""Entries of engines as a large deployment lists them, with eleven models and their adapters."""

import json

__all__ = ["listed_entry"]

MODELS = 11
ADAPTERS_PER_MODEL = 6


def listed_entry(number: int, sequence: int = 1, **more: object) -> bytes:
    """Return an engine's entry of about 1.6 kB.

    Parameters
    ----------
    number
        Number of the engine in its deployment, from which its address follows.
    sequence
        Number of the heartbeat.
    more
        Further fields, which replace those of the same names.
    """
    adapters = [f"adapter-{each}" for each in range(ADAPTERS_PER_MODEL)]
    models = [
        {"name": f"model-{each:02}", "version": 1, "adapters": adapters} for each in range(MODELS)
    ]
    item = {
        "service": "adapter-llm",
        "address": f"127.9.{number // 250}.{number % 250 + 1}:8080",
        "zone": "hall",
        "version": "v1",
        "slotCount": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "stage": "decode",
        "models": models,
        "seq": sequence,
        "born": 1764840000000,
    }
    return json.dumps(item | more).encode()
