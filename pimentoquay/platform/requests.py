"""Decode the headers of callers' requests, and build those of requests to engines."""

from dataclasses import dataclass, field

from pimentoquay.http1.headers import HeaderList, end_to_end_headers, find_header, find_headers
from pimentoquay.kernel.input_checks import check_range
from pimentoquay.policy.fleet import ModelRequest
from pimentoquay.policy.workspaces import UNCHECKED, Access

__all__ = ["CallerRequest", "SendOptions", "engine_headers", "parse_request", "parse_timeout"]

_REQUEST_ID = b"pimentoquay-request-id"
_DEADLINE = b"pimentoquay-deadline-ms"
_MODEL = b"pimentoquay-model"
# Prompt tokens and maximum output tokens, separated by a comma.
_TOKEN_COUNTS = b"pimentoquay-token-counts"
# The parts of the prompt in order, as ID:TOKENS separated by commas.
_PROMPT_PARTS = b"pimentoquay-prompt-prefix"
_LENGTH_HINT = b"pimentoquay-length-hint"
_LAST_EVENT = b"last-event-id"
_RESUMES = b"resumes"
_ALWAYS_SENT = (b"pimentoquay-", _LAST_EVENT, _RESUMES)
_KEY = b"pimentoquay-key"
# Name of the workspace, which only the system may set if the configuration has workspaces.
_WORKSPACE = b"pimentoquay-tenant"
MAX_DIGITS = 15
"""Maximum length of a number, in digits; a longer one counts as missing."""

MAX_PROMPT_PARTS = 64
"""Maximum number of a prompt's parts that are decoded; later ones are ignored."""

MAX_PART_ID_LENGTH = 64
"""Maximum length of the id of a part, in characters; longer ones are ignored."""

_SET_BY_SYSTEM = frozenset(
    (
        _DEADLINE,
        b"pimentoquay-expect-instance",
        b"pimentoquay-expect-version",
        b"pimentoquay-stage",
        b"pimentoquay-kv-source",
        b"pimentoquay-kv-hold",
        b"pimentoquay-kv-backup",
        b"pimentoquay-pin-ms",
        b"pimentoquay-request-priority",
        b"kv-fetch",
    )
)
"""Headers that are removed from callers' requests, because only the system may set them."""


@dataclass(frozen=True)
class CallerRequest:
    """Decoded headers of a caller's request.

    ``timeout_seconds`` is the time that the caller waits, ``last_event`` the id of the last event
    that it received before it resumed a stream; both are None if not stated. ``resumes`` is the id
    of the request that brought the first event of that stream, or empty. ``key`` is the caller's
    key, or None if it sent none; no representation shows it. ``total_tokens`` is the sum of the
    token counts by which allowances are counted, or None if none are stated.
    """

    id: str
    host: str
    timeout_seconds: float | None
    model: ModelRequest | None
    last_event: int | None
    headers: HeaderList = field(repr=False)
    resumes: str = ""
    key: bytes | None = field(default=None, repr=False)
    total_tokens: int | None = None


@dataclass(frozen=True)
class SendOptions:
    """Information that is added to a request to an engine.

    ``kv_source`` is the address and handle of a KV cache that another engine has prefilled,
    ``hold`` the id of a memory reservation, and ``after_event`` the id of the last event that the
    caller has received.
    """

    engine: str
    timeout_seconds: float
    is_prefill: bool = False
    kv_source: str = ""
    hold: str = ""
    after_event: int | None = None
    urgency: int | None = None


def parse_request(headers: HeaderList) -> CallerRequest:
    """Decode a request's headers; invalid values count as missing."""
    counts = _token_counts(headers)
    return CallerRequest(
        id=_text(find_header(headers, _REQUEST_ID)),
        host=_text(find_header(headers, b"host")).partition(":")[0].lower(),
        timeout_seconds=parse_timeout(headers),
        model=_model_request(headers, counts),
        last_event=_integer(find_header(headers, _LAST_EVENT)),
        headers=headers,
        resumes=_text(find_header(headers, _RESUMES)),
        key=_key(headers),
        total_tokens=sum(counts) if counts else None,
    )


def parse_timeout(headers: HeaderList) -> float | None:
    """Return the time that the caller waits, in seconds, or None if it is not stated."""
    try:
        return check_range(float(_text(find_header(headers, _DEADLINE)))) / 1000.0
    except ValueError:
        return None


def engine_headers(
    request: CallerRequest, options: SendOptions, access: Access = UNCHECKED
) -> HeaderList:
    """Return the headers with which a caller's request is sent to an engine.

    Parameters
    ----------
    request, options
        The request, and what is added to it.
    access
        Decision on the request. Unless it is unchecked, the engine gets the name of the workspace
        by it, and neither the key nor a name from the caller.
    """
    dropped = _SET_BY_SYSTEM
    added = [
        (b"Pimentoquay-Deadline-Ms", str(max(1, int(options.timeout_seconds * 1000))).encode()),
        (b"Pimentoquay-Expect-Instance", options.engine.encode()),
    ]
    if options.is_prefill:
        added.append((b"Pimentoquay-Stage", b"prefill"))
    if options.kv_source:
        added.append((b"Pimentoquay-Kv-Source", options.kv_source.encode()))
    if options.hold:
        added.append((b"Pimentoquay-Kv-Hold", options.hold.encode()))
    if options.urgency is not None:
        added.append((b"Pimentoquay-Request-Priority", str(options.urgency).encode()))
    if access.is_checked:
        dropped = dropped | {_KEY, _WORKSPACE}
    if access.workspace is not None:
        added.append((b"Pimentoquay-Tenant", access.workspace.name.encode()))
    if options.after_event is not None:
        dropped = dropped | {_LAST_EVENT}
        added.append((b"Last-Event-Id", str(options.after_event).encode()))
    headers = end_to_end_headers(request.headers, _ALWAYS_SENT)
    kept = (pair for pair in headers if pair[0].lower() not in dropped)
    return (*kept, *added)


def _token_counts(headers: HeaderList) -> list[int] | None:
    texts = (find_header(headers, _TOKEN_COUNTS) or b"").split(b",")
    counts = [each for each in map(_integer, texts) if each is not None]
    return counts if len(counts) == len(texts) == 2 else None


def _model_request(headers: HeaderList, counts: list[int] | None) -> ModelRequest | None:
    model = find_header(headers, _MODEL)
    if model is None or counts is None:
        return None
    hint = _integer(find_header(headers, _LENGTH_HINT)) or 0
    return ModelRequest(_text(model), counts[0], counts[1], hint, _shared_parts(headers))


def _shared_parts(headers: HeaderList) -> tuple[str, ...]:
    """Return the ids of all parts of the prompt but the last, which is the request's own."""
    entries = _text(find_header(headers, _PROMPT_PARTS)).split(",", MAX_PROMPT_PARTS)
    ids = [entry.partition(":")[0].strip().lower() for entry in entries[:MAX_PROMPT_PARTS]]
    return tuple(each for each in ids[: len(entries) - 1] if 0 < len(each) <= MAX_PART_ID_LENGTH)


def _key(headers: HeaderList) -> bytes | None:
    """Return the caller's key; several are joined as one list, which no workspace has."""
    values = find_headers(headers, _KEY)
    return b", ".join(values).strip(b" \t") if values else None


def _text(value: bytes | None) -> str:
    return (value or b"").decode("latin-1").strip()


def _integer(value: bytes | None) -> int | None:
    text = _text(value)
    is_valid = text.isdecimal() and text.isascii() and len(text) <= MAX_DIGITS
    return int(text) if is_valid else None
