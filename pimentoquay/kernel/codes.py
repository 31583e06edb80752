"""Numeric result codes, used in responses to callers, in messages, logs and metrics.

Every request ends with exactly one code. The hundreds digit is the class of the code:

1. completed
2. refused before any backend server ran a part of the request
3. cancelled by the caller
4. failed after work had started
5. protocol and settings errors
6. outcomes of configuration changes
"""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["CodeInfo", "ResultCode", "info_of", "is_not_run"]


class ResultCode(IntEnum):
    """Result of a request or of a configuration change; ``info_of`` returns its description."""

    OK = 100
    QUEUE_FULL = 200
    DEADLINE_UNREACHABLE = 201
    WORKSPACE_LIMIT = 202
    NO_BACKEND = 203
    UNAUTHENTICATED = 204
    MODEL_FORBIDDEN = 205
    MODEL_UNKNOWN = 206
    BAD_REQUEST = 207
    PROMPT_TOO_LONG = 208
    BODY_TOO_LARGE = 209
    SHUTTING_DOWN = 210
    NOT_READY = 211
    CIRCUIT_OPEN = 212
    KEY_UNAVAILABLE = 213
    KEY_IN_USE = 214
    NOT_OWNER = 215
    BODY_TIMEOUT = 216
    NOT_FOUND = 217
    REQUEST_UNKNOWN = 218
    PROMPT_QUARANTINED = 219
    ENGINES_LIMITED = 220
    REQUEST_QUARANTINED = 221
    STREAM_VERSION_GONE = 222
    STREAM_ORIGIN_UNKNOWN = 223
    CANCELLED = 300
    ENGINE_FAILED = 400
    TRANSFER_FAILED = 401
    DEADLINE_MISSED = 402
    OUTCOME_UNKNOWN = 403
    STREAM_BROKEN = 404
    KEY_ALREADY_RUN = 405
    KV_GONE = 406
    INTERNAL = 499
    PEER_UNKNOWN = 500
    FRAME_MALFORMED = 501
    FRAME_TOO_LARGE = 502
    VERSION_UNSUPPORTED = 503
    SETTING_INVALID = 504
    FENCED = 505
    LOG_UNAVAILABLE = 506
    LOG_OUTCOME_UNKNOWN = 507
    CONFIG_ACCEPTED = 600
    CONFIG_CONFLICT = 601
    CONFIG_INVALID = 602
    CONFIG_UNKNOWN = 603


@dataclass(frozen=True)
class CodeInfo:
    """Description of a result code: its HTTP status, its meaning and a hint on what to do."""

    code: ResultCode
    http_status: int
    text: str
    hint: str


def _info(code: ResultCode, http_status: int, text: str, hint: str) -> CodeInfo:
    return CodeInfo(code, http_status, text, hint)


_INFOS = (
    _info(ResultCode.OK, 200, "answered in full", "nothing to do"),
    _info(ResultCode.QUEUE_FULL, 429, "not run: the queue is full", "retry after the given time"),
    _info(
        ResultCode.DEADLINE_UNREACHABLE,
        429,
        "not run: the first token could not arrive in time",
        "retry after the given time",
    ),
    _info(
        ResultCode.WORKSPACE_LIMIT,
        429,
        "not run: the workspace is over its own limit",
        "retry after the given time or raise the limit",
    ),
    _info(ResultCode.NO_BACKEND, 503, "not run: no backend server is live", "see ctl status"),
    _info(ResultCode.UNAUTHENTICATED, 401, "not run: missing or unknown key", "check the key"),
    _info(
        ResultCode.MODEL_FORBIDDEN,
        403,
        "not run: the model is not of this workspace",
        "use a model of the workspace or change its configuration",
    ),
    _info(ResultCode.MODEL_UNKNOWN, 404, "not run: unknown model", "check the model's name"),
    _info(ResultCode.BAD_REQUEST, 400, "not run: the request is malformed", "correct the request"),
    _info(ResultCode.PROMPT_TOO_LONG, 400, "not run: the prompt is too long", "shorten it"),
    _info(ResultCode.BODY_TOO_LARGE, 413, "not run: the body is too large", "send a smaller body"),
    _info(ResultCode.SHUTTING_DOWN, 503, "not run: this VM is leaving", "retry at once"),
    _info(ResultCode.NOT_READY, 503, "not run: no configuration is in force yet", "retry soon"),
    _info(
        ResultCode.CIRCUIT_OPEN,
        503,
        "not run: the backend server is being left alone after refusals",
        "retry after the given time",
    ),
    _info(
        ResultCode.KEY_UNAVAILABLE,
        503,
        "not run: the owner of the idempotency key cannot be reached",
        "retry with the same key",
    ),
    _info(
        ResultCode.KEY_IN_USE,
        409,
        "not run: a request with the same idempotency key is in progress",
        "wait for the first one",
    ),
    _info(ResultCode.NOT_OWNER, 503, "not run: the shard is owned by another VM", "retry at once"),
    _info(ResultCode.BODY_TIMEOUT, 408, "not run: the body came too slowly", "send it faster"),
    _info(ResultCode.NOT_FOUND, 404, "not run: no such resource", "check the path"),
    _info(
        ResultCode.REQUEST_UNKNOWN,
        404,
        "not run: no stream with this request id can be resumed",
        "send the request anew",
    ),
    _info(
        ResultCode.PROMPT_QUARANTINED,
        503,
        "not run: engines have crashed under parts of the prompt",
        "change the prompt, or retry after the given time",
    ),
    _info(
        ResultCode.ENGINES_LIMITED,
        429,
        "not run: the backend servers take no more requests a second",
        "retry after the given time",
    ),
    _info(
        ResultCode.REQUEST_QUARANTINED,
        503,
        "not run: engines have crashed under this request",
        "change the request, or retry after the given time",
    ),
    _info(
        ResultCode.STREAM_VERSION_GONE,
        503,
        "not run: no engine has the software version that began the stream",
        "send the request anew, from its beginning",
    ),
    _info(
        ResultCode.STREAM_ORIGIN_UNKNOWN,
        503,
        "not run: the software version that began the stream is not known",
        "retry after the given time; if none is given, send the request anew",
    ),
    _info(ResultCode.CANCELLED, 499, "cancelled by the caller", "nothing to do"),
    _info(ResultCode.ENGINE_FAILED, 502, "the engine failed", "retry if idempotent"),
    _info(ResultCode.TRANSFER_FAILED, 502, "the KV transfer failed", "retry if idempotent"),
    _info(ResultCode.DEADLINE_MISSED, 504, "the target passed during the run", "retry later"),
    _info(
        ResultCode.OUTCOME_UNKNOWN,
        502,
        "outcome unknown: the call may have run",
        "look at the backend server before repeating it",
    ),
    _info(ResultCode.STREAM_BROKEN, 502, "the stream ended early", "resume or retry"),
    _info(
        ResultCode.KEY_ALREADY_RUN,
        409,
        "a request with the same idempotency key has already run",
        "do not repeat it",
    ),
    _info(
        ResultCode.KV_GONE,
        409,
        "the engine no longer holds the KV cache",
        "nothing to do: the prompt is prefilled again",
    ),
    _info(ResultCode.INTERNAL, 500, "an internal error", "report it with the request id"),
    _info(ResultCode.PEER_UNKNOWN, 403, "the peer does not know the shared key", "check [cluster]"),
    _info(ResultCode.FRAME_MALFORMED, 400, "a malformed frame", "check the peer's version"),
    _info(ResultCode.FRAME_TOO_LARGE, 413, "an oversized frame", "check the peer"),
    _info(ResultCode.VERSION_UNSUPPORTED, 400, "a newer protocol version", "upgrade this VM"),
    _info(ResultCode.SETTING_INVALID, 500, "a setting is invalid", "correct the named setting"),
    _info(ResultCode.FENCED, 409, "the order carries an old fencing number", "nothing to do"),
    _info(ResultCode.LOG_UNAVAILABLE, 503, "the log service is unavailable", "retry later"),
    _info(
        ResultCode.LOG_OUTCOME_UNKNOWN,
        503,
        "the log service's answer was lost",
        "read the log to learn the outcome",
    ),
    _info(ResultCode.CONFIG_ACCEPTED, 200, "the change is accepted", "nothing to do"),
    _info(
        ResultCode.CONFIG_CONFLICT,
        409,
        "another change came first on the same base",
        "read the configuration in force and publish anew",
    ),
    _info(ResultCode.CONFIG_INVALID, 422, "the document is invalid", "correct the named values"),
    _info(ResultCode.CONFIG_UNKNOWN, 503, "the outcome is not known yet", "ask again by change id"),
)

_INFO_BY_CODE = {info.code: info for info in _INFOS}


def info_of(code: ResultCode) -> CodeInfo:
    """Return the HTTP status, text and hint of a result code."""
    return _INFO_BY_CODE[code]


def is_not_run(code: ResultCode) -> bool:
    """Return whether the code guarantees that no backend server ran any part of the request."""
    return 200 <= code < 300
