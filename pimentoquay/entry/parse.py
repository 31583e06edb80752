"""Validation of callers' headers and bodies, and their conversion to a ``RequestSpec``.

Every error raises ``RefusedError`` with a result code and a detail that names the field and its
wrong value. Requests are validated before any engine is called.
"""

import json
import re
import uuid
from collections.abc import Container, Mapping
from dataclasses import dataclass
from typing import Any

from pimentoquay.configuration.view import kind_of, model_of
from pimentoquay.entry.request import RequestSpec, prompt_of_messages, token_count
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.messages.workspaces import KindSpec, Workspace
from pimentoquay.policy.prefixes import prefix_hashes

__all__ = ["CallerHeaders", "parse_headers", "parse_json", "parse_request"]

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
MAX_SHOWN_CHARACTERS = 60
"""Maximum number of characters of a wrong value that are shown in an error."""

_TYPE_NAMES = {
    str: "text",
    int: "a whole number",
    bool: "true or false",
    list: "an array",
    dict: "an object",
}


@dataclass(frozen=True)
class CallerHeaders:
    """The headers of one request that the entry uses.

    ``bearer_key``, ``kind`` and ``idempotency_key`` are empty if their header is missing.
    ``resume_offset`` is the number of tokens that the caller has of a stream to be resumed, or
    ``None`` for a new request.
    """

    bearer_key: str
    request_id: str
    kind: str
    idempotency_key: str
    resume_offset: int | None


def parse_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Return the checked headers of a request, with a random request id if it has none.

    Raises
    ------
    RefusedError
        If a header is malformed.
    """
    request_id = headers.get("x-request-id", "")
    if request_id and not REQUEST_ID_PATTERN.fullmatch(request_id):
        allowed = f"allowed: {REQUEST_ID_PATTERN.pattern}"
        raise bad_request(f"x-request-id {_shorten(request_id)}: {allowed}")
    idempotency_key = headers.get("idempotency-key", "")
    if len(idempotency_key) > 256:
        raise bad_request("idempotency-key is longer than 256 characters")
    return CallerHeaders(
        _bearer_key(headers),
        request_id or uuid.uuid4().hex,
        headers.get("x-request-kind", ""),
        idempotency_key,
        _resume_offset(headers, request_id),
    )


def parse_json(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body.

    Raises
    ------
    RefusedError
        If the body is not UTF-8, not JSON, nested too deeply or not an object.
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise bad_request(f"the body is not UTF-8 at byte {error.start}") from None
    try:
        value = json.loads(text, parse_constant=_reject_constant)
    except RecursionError:
        raise bad_request("the body is nested too deeply") from None
    except ValueError as error:
        raise bad_request(f"the body is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise bad_request(f"the body is {type(value).__name__}, allowed: an object")
    return value


def parse_request(
    body: dict[str, Any],
    headers: CallerHeaders,
    workspace: Workspace,
    pools: Container[str],
    chat: bool,
) -> RequestSpec:
    """Return the validated request of a workspace.

    Parameters
    ----------
    body
        The JSON object of the request.
    headers
        Its checked headers.
    workspace
        The workspace that the caller's key belongs to.
    pools
        Names of all models that engines serve. They distinguish a model that the workspace may
        not use (``MODEL_FORBIDDEN``) from an unknown one (``MODEL_UNKNOWN``).
    chat
        Whether the body is a chat request, with ``messages`` instead of ``prompt``.

    Raises
    ------
    RefusedError
        If a field is malformed or not allowed for the workspace.
    """
    model = _field(body, "model", str)
    if model_of(workspace, model) is None:
        code = ResultCode.MODEL_FORBIDDEN if model in pools else ResultCode.MODEL_UNKNOWN
        raise RefusedError(code, f"model {_shorten(model)}")
    kind = _kind(body, headers, workspace, model)
    prompt = _chat_prompt(body) if chat else _field(body, "prompt", str)
    if not prompt:
        raise bad_request("prompt is empty")
    try:
        tokens = token_count(prompt)
    except UnicodeEncodeError as error:
        raise bad_request(f"the prompt holds half a surrogate pair at {error.start}") from None
    if tokens > kind.max_prompt_tokens:
        detail = f"{tokens} tokens, allowed for {kind.name}: {kind.max_prompt_tokens}"
        raise RefusedError(ResultCode.PROMPT_TOO_LONG, detail)
    if _field(body, "n", int, 1) != 1:
        raise bad_request(f"n = {_shorten(body['n'])}, allowed: 1")
    return RequestSpec(
        f"{workspace.name}/{headers.request_id}",
        workspace.name,
        model,
        kind,
        prompt,
        tokens,
        tuple(prefix_hashes(prompt)),
        _max_tokens(body, kind),
        chat,
        _field(body, "stream", bool, False),
        workspace.max_concurrent,
        "" if kind.idempotent else headers.idempotency_key,
        workspace.weight,
    )


def wants_usage(body: dict[str, Any]) -> bool:
    """Return whether the stream is to end with an event that holds its token usage."""
    options = _field(body, "stream_options", dict, {})
    is_wanted = bool(_field(options, "include_usage", bool, False, "stream_options."))
    if is_wanted and not _field(body, "stream", bool, False):
        raise bad_request("stream_options.include_usage is for streams, and stream is not true")
    return is_wanted


def bad_request(detail: str) -> RefusedError:
    """Return the error for a malformed request."""
    return RefusedError(ResultCode.BAD_REQUEST, detail)


def _bearer_key(headers: Mapping[str, str]) -> str:
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _resume_offset(headers: Mapping[str, str], request_id: str) -> int | None:
    raw = headers.get("x-resume-offset")
    if raw is None:
        return None
    if not request_id:
        raise bad_request("x-resume-offset needs the x-request-id of the stream")
    if not (raw.isascii() and raw.isdigit() and len(raw) <= 9):
        raise bad_request(f"x-resume-offset {_shorten(raw)}, allowed: a whole number of tokens")
    return int(raw)


def _kind(
    body: dict[str, Any], headers: CallerHeaders, workspace: Workspace, model: str
) -> KindSpec:
    name = headers.kind or _field(body, "kind", str, "")
    kind = kind_of(workspace, model, name)
    if kind is None:
        known = ", ".join(item.name for item in workspace.kinds if item.model == model)
        raise bad_request(f"kind {_shorten(name)}, allowed for {model}: {known or 'none'}")
    return kind


def _max_tokens(body: dict[str, Any], kind: KindSpec) -> int:
    name = "max_completion_tokens" if "max_completion_tokens" in body else "max_tokens"
    value = _field(body, name, int, kind.max_tokens)
    if not 1 <= value <= kind.max_tokens:
        raise bad_request(f"{name} = {value}, allowed for {kind.name}: 1 to {kind.max_tokens}")
    return value


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = _field(body, "messages", list)
    if not messages:
        raise bad_request("messages is empty")
    normalized = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise bad_request(f"messages[{index}], allowed: an object")
        path_prefix = f"messages[{index}]."
        content = message.get("content")
        if isinstance(content, list):
            content = "".join(_text_part(part, path_prefix) for part in content)
        if not isinstance(content, str):
            raise bad_request(f"{path_prefix}content, allowed: text")
        normalized.append(
            {"role": _field(message, "role", str, path_prefix=path_prefix), "content": content}
        )
    return prompt_of_messages(normalized)


def _text_part(part: Any, path_prefix: str) -> str:
    if not isinstance(part, dict) or part.get("type") != "text":
        raise bad_request(f"{path_prefix}content, allowed: parts of type text")
    return _field(part, "text", str, path_prefix=path_prefix)


def _field(
    body: dict[str, Any], name: str, expected_type: type, default: Any = None, path_prefix: str = ""
) -> Any:
    value = body.get(name)
    if value is None and default is not None:
        return default
    if value is None:
        raise bad_request(f"{path_prefix}{name} is missing")
    if not isinstance(value, expected_type) or (expected_type is int and isinstance(value, bool)):
        raise bad_request(
            f"{path_prefix}{name} = {_shorten(value)}, allowed: {_TYPE_NAMES[expected_type]}"
        )
    return value


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."
