"""JSON bodies of answers and errors, in the format that OpenAI-style clients expect."""

import json
import math
from typing import Any

from starlette.responses import JSONResponse, Response

from pimentoquay.entry.request import RequestSpec
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode, info_of, is_not_run

__all__ = ["completion_body", "error_event", "error_response"]

_FRAME_PREFIX = b"data: "
_TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    408: "invalid_request_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


def error_body(error: PimentoquayError) -> dict[str, Any]:
    """Return the JSON object of an error; ``result_code`` holds the number of its code."""
    info = info_of(error.code)
    message = info.text + (f": {error.detail}" if error.detail else "")
    return {
        "error": {
            "message": message,
            "type": _TYPE_BY_STATUS.get(info.http_status, "server_error"),
            "code": error.code.name.lower(),
            "param": None,
            "result_code": int(error.code),
            "not_run": is_not_run(error.code),
            "hint": info.hint,
        }
    }


def error_response(error: PimentoquayError, request_id: str = "") -> Response:
    """Return the HTTP response to an error, with ``Retry-After`` if a retry may succeed."""
    headers = {"x-result-code": str(int(error.code))}
    if request_id:
        headers["x-request-id"] = request_id
    if isinstance(error, RefusedError) and error.retry_after > 0:
        headers["retry-after"] = str(math.ceil(error.retry_after))
        headers["retry-after-ms"] = str(math.ceil(error.retry_after * 1000))
    if error.code is ResultCode.BODY_TIMEOUT:
        headers["connection"] = "close"
    return JSONResponse(error_body(error), info_of(error.code).http_status, headers)


def error_event(error: PimentoquayError) -> bytes:
    """Return the server-sent event that ends a stream early; no ``[DONE]`` follows it."""
    return _FRAME_PREFIX + json.dumps(error_body(error)).encode() + b"\n\n"


def completion_body(frames: bytes, spec: RequestSpec) -> dict[str, Any]:
    """Return the JSON object of a non-streamed answer, assembled from the frames of a stream."""
    texts: list[str] = []
    finish_reason = None
    head: dict[str, Any] = {}
    for line in frames.split(b"\n\n"):
        if not line.startswith(_FRAME_PREFIX + b"{"):
            continue
        event = json.loads(line[len(_FRAME_PREFIX) :])
        head = head or event
        choice = event["choices"][0]
        part = choice.get("delta", {}).get("content") if spec.chat else choice.get("text")
        texts += [part] if part else []
        finish_reason = choice.get("finish_reason") or finish_reason
    text = "".join(texts)
    content = {"message": {"role": "assistant", "content": text}} if spec.chat else {"text": text}
    return {
        "id": head.get("id", spec.request_id),
        "object": "chat.completion" if spec.chat else "text_completion",
        "created": head.get("created", 0),
        "model": spec.model,
        "choices": [{"index": 0, **content, "finish_reason": finish_reason, "logprobs": None}],
        "usage": {
            "prompt_tokens": spec.prompt_tokens,
            "completion_tokens": len(texts),
            "total_tokens": spec.prompt_tokens + len(texts),
        },
    }
