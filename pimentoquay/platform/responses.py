"""Decode the status and headers of engines' responses, and the body of a prefill response."""

import re
from dataclasses import dataclass, replace

from pimentoquay.http1.headers import HeaderList, find_header
from pimentoquay.http1.response_marks import ConnectionUse, ResponseMark
from pimentoquay.platform.fields import parse_json, required

__all__ = [
    "MARK_OF_CALL",
    "MARK_OF_CALL_ALONE",
    "EngineNotice",
    "PrefillResult",
    "ResponseInfo",
    "mark_of_request",
    "parse_notice",
    "parse_prefill",
    "parse_response",
]

_REQUEST_ID = b"pimentoquay-request-id"
_SIGNATURE = b"pimentoquay-server-stamp"
_NOT_RUN = b"pimentoquay-not-executed"
_LEAVING = b"server-leaving"
_LIMIT = b"server-limit"
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_INSTANCE = b"pimentoquay-instance-id"
_MISDIRECTED = 421
_UNAVAILABLE = 503


@dataclass(frozen=True)
class ResponseInfo:
    """Facts from the status and headers of a response.

    ``has_not_run`` is whether the engine states that it did not run the request, ``is_signed``
    whether the response has an engine's signature, and ``is_encoded`` whether its body has a
    content encoding; no engine uses one, so an intermediary must have changed it.
    """

    status: int
    has_not_run: bool
    is_signed: bool
    is_encoded: bool

    @property
    def is_misdirected(self) -> bool:
        """Whether the request reached an engine other than the intended one."""
        return self.status == _MISDIRECTED

    @property
    def is_success(self) -> bool:
        """Whether an engine itself sent a success response."""
        return 200 <= self.status < 300 and self.is_signed and not self.is_encoded


@dataclass(frozen=True)
class EngineNotice:
    """What an engine says about itself in any response.

    ``pause_seconds`` is the time for which it wants no requests, or None if it states none.
    ``names_limit`` is whether it names a limit, and ``limit`` the requests a second that it takes
    from all VMs together, or None if it names none or the value is no decimal number.
    ``is_of_other`` is whether another engine sent the response.
    """

    is_leaving: bool
    pause_seconds: float | None
    names_limit: bool = False
    limit: float | None = None
    is_of_other: bool = False


@dataclass(frozen=True)
class PrefillResult:
    """A KV cache that a prefill engine keeps for a short time; its size is in tokens."""

    handle: str
    tokens: int


def parse_response(status: int, headers: HeaderList) -> ResponseInfo:
    """Decode the status and headers of an engine's response."""
    return ResponseInfo(
        status=status,
        has_not_run=status == _MISDIRECTED or find_header(headers, _NOT_RUN) is not None,
        is_signed=find_header(headers, _SIGNATURE) is not None,
        is_encoded=find_header(headers, b"content-encoding") is not None,
    )


def parse_notice(engine_id: str, status: int, headers: HeaderList) -> EngineNotice:
    """Decode what a response says about the engine with the given id.

    A response of another engine at its address says nothing about it. A pause that is not a number
    of seconds, or is negative, counts as not stated.
    """
    instance = find_header(headers, _INSTANCE)
    is_other = instance is not None and instance.decode("latin-1") != engine_id
    if status == _MISDIRECTED or is_other:
        return EngineNotice(False, None, is_of_other=True)
    is_leaving = (find_header(headers, _LEAVING) or b"").strip() == b"1"
    pause = find_header(headers, b"retry-after") if status == _UNAVAILABLE else None
    limit = find_header(headers, _LIMIT)
    return EngineNotice(
        is_leaving, _parse_pause(pause), limit is not None, _parse_limit(limit or b"")
    )


def _parse_limit(value: bytes) -> float | None:
    return float(value) if _DECIMAL.fullmatch(value.strip()) else None


def _parse_pause(value: bytes | None) -> float | None:
    try:
        seconds = float(value or b"")
    except ValueError:
        return None
    return seconds if seconds >= 0 else None


def _request_id_of(headers: HeaderList) -> str | None:
    value = find_header(headers, _REQUEST_ID)
    return value.decode("latin-1").strip() if value is not None else None


MARK_OF_CALL = ResponseMark(_request_id_of)
"""The response to a management call has no request id."""

MARK_OF_CALL_ALONE = replace(MARK_OF_CALL, use=ConnectionUse.ALONE)
"""The same on a connection that carries nothing else."""


def mark_of_request(request_id: str) -> ResponseMark:
    """Return how the response to a request is known: by its id, which all responses repeat."""
    if not request_id:
        return MARK_OF_CALL_ALONE
    return ResponseMark(_request_id_of, request_id)


def parse_prefill(body: bytes) -> PrefillResult:
    """Decode the response to a prefill; raise ``DecodeError`` if it is invalid."""
    item = parse_json(body, "prefill")
    return PrefillResult(required(item, "kvHandle", str), required(item, "tokens", int))
