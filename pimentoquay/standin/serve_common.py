"""Request and response helpers shared by the stand-ins that are served over HTTP."""

from typing import Any, TypeVar

from starlette.requests import Request
from starlette.responses import Response

from pimentoquay.backends.base import EngineLostError, EngineRefusedError
from pimentoquay.backends.engine_http import EngineFault
from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.kernel.json_data import from_json, to_json

__all__ = ["AbortedResponse", "data_response", "fault_response", "read_body"]

_JSON = "application/json"
_STATUS_BY_CODE = {
    ResultCode.CIRCUIT_OPEN: 503,
    ResultCode.FENCED: 409,
    ResultCode.KV_GONE: 409,
}

Data = TypeVar("Data")


class AbortedResponse(Response):
    """Response that announces a body but closes the connection instead of sending it."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Send the head of the response and raise, which closes the connection."""
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        raise ConnectionAbortedError("the response is aborted to simulate a lost connection")


async def read_body(cls: type[Data], request: Request) -> Data:
    """Return the instance of ``cls`` in a request's JSON body; raise ``ValueError`` if invalid."""
    return from_json(cls, await request.body())


def data_response(item: Any) -> Response:
    """Return a successful response whose JSON body is an instance of a data class."""
    return Response(to_json(item), media_type=_JSON)


def fault_response(error: Exception) -> Response:
    """Return the response from which an engine client raises the same error."""
    if isinstance(error, EngineLostError):
        return AbortedResponse()
    if isinstance(error, PimentoquayError):
        retry_after = error.retry_after if isinstance(error, EngineRefusedError) else 0.0
        fault = EngineFault(int(error.code), error.detail, retry_after)
        return Response(to_json(fault), _STATUS_BY_CODE.get(error.code, 500), media_type=_JSON)
    fault = EngineFault(int(ResultCode.BAD_REQUEST), str(error))
    return Response(to_json(fault), 400, media_type=_JSON)
