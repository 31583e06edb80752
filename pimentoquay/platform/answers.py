"""What engines' answers say beside their bodies."""

from dataclasses import dataclass

from pimentoquay.http1.headers import HeaderList, find_header
from pimentoquay.platform.fields import object_of, required

__all__ = ["AnswerFacts", "PrefillResult", "answers_request", "read_answer", "read_prefill"]

_REQUEST_ID = b"pimentoquay-request-id"
_SIGNATURE = b"pimentoquay-server-stamp"
_NOT_RUN = b"pimentoquay-not-executed"
_MISDIRECTED = 421


@dataclass(frozen=True)
class AnswerFacts:
    """What a head tells.

    ``has_not_run`` is the engine's proof that it did nothing with the request. ``is_signed`` is
    whether the answer bears an engine's signature, and ``is_encoded`` whether its body was encoded
    on the way, which no engine does.
    """

    status: int
    has_not_run: bool
    is_signed: bool
    is_encoded: bool

    @property
    def is_misdirected(self) -> bool:
        """Whether another engine than the one that was meant has answered."""
        return self.status == _MISDIRECTED

    @property
    def is_success(self) -> bool:
        """Whether the answer is an engine's own success."""
        return 200 <= self.status < 300 and self.is_signed and not self.is_encoded


@dataclass(frozen=True)
class PrefillResult:
    """A KV cache that an engine holds for a short while; sizes in tokens."""

    handle: str
    tokens: int


def read_answer(status: int, headers: HeaderList) -> AnswerFacts:
    """Decode the head of an engine's answer."""
    return AnswerFacts(
        status=status,
        has_not_run=status == _MISDIRECTED or find_header(headers, _NOT_RUN) is not None,
        is_signed=find_header(headers, _SIGNATURE) is not None,
        is_encoded=find_header(headers, b"content-encoding") is not None,
    )


def answers_request(headers: HeaderList, request_id: str) -> bool:
    """Return whether an answer belongs to a request; one that names none may."""
    value = find_header(headers, _REQUEST_ID)
    return value is None or value.decode("latin-1") == request_id


def read_prefill(body: bytes) -> PrefillResult:
    """Decode the answer to a prefill; ``DecodeError`` if it is malformed."""
    item = object_of(body, "prefill")
    return PrefillResult(required(item, "kvHandle", str), required(item, "tokens", int))
