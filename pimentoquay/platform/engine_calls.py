"""Management calls of an engine: reserve and free memory, change the stage."""

import json
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote

from pimentoquay.http1.headers import HeaderList
from pimentoquay.http1.response_marks import ResponseMark
from pimentoquay.platform.fields import optional, parse_json, required
from pimentoquay.platform.responses import MARK_OF_CALL, MARK_OF_CALL_ALONE

__all__ = ["EngineCall", "EngineCalls", "OrderOutcome"]

_JSON = (b"Content-Type", b"application/json")


@dataclass(frozen=True)
class EngineCall:
    """HTTP call to an engine, how its response is known, and whether a success names a hold."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""
    mark: ResponseMark = MARK_OF_CALL
    creates_hold: bool = False


class OrderOutcome(Enum):
    """Outcome of an order that changes an engine's stage."""

    ACCEPTED = "accepted"
    ALREADY_SET = "already so"
    BUSY = "another order is in progress"
    FENCED = "refused for its fencing number"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_OUTCOME_BY_STATUS = {
    200: OrderOutcome.ALREADY_SET,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
}


class EngineCalls:
    """Builds management calls of one engine, which any other engine at its address rejects.

    Parameters
    ----------
    engine
        Id of the engine.
    address
        Its address as ``host:port``.
    """

    def __init__(self, engine: str, address: str) -> None:
        self._headers: HeaderList = (
            (b"Host", address.encode()),
            (b"Pimentoquay-Expect-Instance", engine.encode()),
        )

    def reserve_memory(self, tokens: int, seconds: float) -> EngineCall:
        """Reserve a slot and memory; the reservation expires after ``seconds``."""
        body = json.dumps({"tokens": tokens, "ttlMs": int(seconds * 1000)}).encode()
        headers = (*self._headers, _JSON)
        return EngineCall(b"POST", b"/api/hold-take", headers, body, creates_hold=True)

    def release_memory(self, hold: str) -> EngineCall:
        """Release a reservation by its id."""
        return self._delete("hold-drop", hold)

    def free_kv_cache(self, handle: str) -> EngineCall:
        """Free a prefilled KV cache that no decode engine will fetch."""
        return self._delete("kv-handle", handle)

    def report(self) -> EngineCall:
        """Ask the engine about itself."""
        return EngineCall(b"GET", b"/api/report", self._headers)

    def change_stage(self, to_prefill: bool, holder: str, fence: int) -> EngineCall:
        """Order the engine to prefill or to decode, with the sender and its fencing token."""
        stage = "prefill" if to_prefill else "decode"
        item = {"op": "stage", "stage": stage, "holder": holder, "fence": fence}
        headers = (*self._headers, _JSON)
        body = json.dumps(item).encode()
        return EngineCall(b"POST", b"/api/order", headers, body, MARK_OF_CALL_ALONE)

    @staticmethod
    def parse_order_status(status: int) -> OrderOutcome:
        """Return the outcome of an order by the HTTP status of its response."""
        return _OUTCOME_BY_STATUS.get(status, OrderOutcome.REFUSED)

    @staticmethod
    def parse_hold(body: bytes) -> str:
        """Return the id of a reservation; raise ``DecodeError`` if the response has none."""
        return required(parse_json(body, "hold"), "hold", str)

    @staticmethod
    def parse_start(body: bytes) -> int:
        """Return when the engine started, in Unix milliseconds, or 0 if it does not say that."""
        return optional(parse_json(body, "report"), "born", int, 0, 0)

    def _delete(self, call: str, resource_id: str) -> EngineCall:
        target = f"/api/{call}/{quote(resource_id, safe='')}".encode()
        return EngineCall(b"DELETE", target, self._headers)
