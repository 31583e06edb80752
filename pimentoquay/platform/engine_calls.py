"""Calls of an engine beside requests: reserving memory, freeing it, changing its stage."""

import json
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote

from pimentoquay.http1.headers import HeaderList
from pimentoquay.platform.fields import object_of, required

__all__ = ["EngineCall", "EngineCalls", "OrderOutcome"]

_JSON = (b"Content-Type", b"application/json")


@dataclass(frozen=True)
class EngineCall:
    """One call: method, target, headers and body, ready to be sent."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""


class OrderOutcome(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    HOLDS = "already so"
    BUSY = "another order is in progress"
    FENCED = "refused for its fencing number"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_OUTCOME_BY_STATUS = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
}


class EngineCalls:
    """Builds the calls of one engine, each of which only that engine will answer.

    Parameters
    ----------
    engine
        The engine's id.
    address
        Its ``host:port``.
    """

    def __init__(self, engine: str, address: str) -> None:
        self._headers: HeaderList = (
            (b"Host", address.encode()),
            (b"Pimentoquay-Expect-Instance", engine.encode()),
        )

    def take_hold(self, tokens: int, seconds: float) -> EngineCall:
        """Reserve a slot and memory for a while."""
        body = json.dumps({"tokens": tokens, "ttlMs": int(seconds * 1000)}).encode()
        return EngineCall(b"POST", b"/api/hold-take", (*self._headers, _JSON), body)

    def drop_hold(self, hold: str) -> EngineCall:
        """Release reserved memory."""
        return self._delete("hold-drop", hold)

    def drop_handle(self, handle: str) -> EngineCall:
        """Free a KV cache that no decode engine will fetch."""
        return self._delete("kv-handle", handle)

    def change_stage(self, prefills: bool, holder: str, fence: int) -> EngineCall:
        """Order the engine to prefill, or else to decode."""
        stage = "prefill" if prefills else "decode"
        item = {"op": "stage", "stage": stage, "holder": holder, "fence": fence}
        headers = (*self._headers, _JSON)
        return EngineCall(b"POST", b"/api/order", headers, json.dumps(item).encode())

    @staticmethod
    def read_order(status: int) -> OrderOutcome:
        """Return what the answer to an order says."""
        return _OUTCOME_BY_STATUS.get(status, OrderOutcome.REFUSED)

    @staticmethod
    def read_hold(body: bytes) -> str:
        """Return the name of a reservation; ``DecodeError`` if the answer has none."""
        return required(object_of(body, "hold"), "hold", str)

    def _delete(self, call: str, name: str) -> EngineCall:
        target = f"/api/{call}/{quote(name, safe='')}".encode()
        return EngineCall(b"DELETE", target, self._headers)
