"""HTTP interface for callers: OpenAI-style completions, plain services, health and metrics."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from pimentoquay.backends.base import PlainCall
from pimentoquay.configuration.view import ConfigurationView, service_of
from pimentoquay.entry.parse import (
    CallerHeaders,
    bad_request,
    parse_headers,
    parse_json,
    parse_request,
    wants_usage,
)
from pimentoquay.entry.plain import PlainService, PlainTarget, is_once_only
from pimentoquay.entry.relay import CancellableResponse, StreamedResponse
from pimentoquay.entry.request import RequestSpec
from pimentoquay.entry.response_bodies import completion_body, error_response
from pimentoquay.entry.service import RequestService
from pimentoquay.entry.settings import HttpSection
from pimentoquay.entry.usage import with_usage
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.workspaces import Workspace

__all__ = ["EntryHttp"]

Endpoint = Callable[[Request], Awaitable[Response]]

PLAIN_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class EntryHttp:
    """The ASGI application of an entry.

    Parameters
    ----------
    service, plain
        The services that run model requests and calls of plain services.
    configuration
        The configuration in force, with the workspaces and their keys.
    section
        Limits on callers' requests.

    Attributes
    ----------
    draining
        Whether the entry is shutting down. Requests are still served, but ``/readyz`` answers 503
        and responses that are not for model requests close their connection.
    app
        The Starlette application.
    """

    def __init__(
        self,
        service: RequestService,
        plain: PlainService,
        configuration: ConfigurationView,
        section: HttpSection,
    ) -> None:
        self._service = service
        self._plain = plain
        self._configuration = configuration
        self._section = section
        self.draining = False
        self.app = Starlette(
            routes=[
                Route(
                    "/v1/chat/completions", self._with_error_responses(self._chat), methods=["POST"]
                ),
                Route(
                    "/v1/completions",
                    self._with_error_responses(self._completions),
                    methods=["POST"],
                ),
                Route("/v1/models", self._with_error_responses(self._models), methods=["GET"]),
                Route(
                    "/services/{service}/{path:path}",
                    self._with_error_responses(self._call_service),
                    methods=PLAIN_METHODS,
                ),
                Route("/healthz", self._healthz),
                Route("/readyz", self._readyz),
                Route("/metrics", self._metrics),
            ],
            exception_handlers={HTTPException: _on_http_exception},
        )

    @property
    def configuration_offset(self) -> int:
        """Offset in the configuration log up to which this entry applies the configuration."""
        return self._configuration.offset

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served: a configuration and a cluster view have been received."""
        return self._configuration.is_ready and self._service.link.directory.is_known

    def _with_error_responses(self, handler: Callable[..., Awaitable[Response]]) -> Endpoint:
        """Return an endpoint that turns every error into a response with its result code."""

        async def endpoint(request: Request) -> Response:
            request_id = request.headers.get("x-request-id", "")
            try:
                headers = parse_headers(request.headers)
                request_id = headers.request_id
                response = await handler(request, headers, self._authorized_workspace(headers))
            except ClientDisconnect:
                response = Response(status_code=499)
            except PimentoquayError as error:
                self._service.metrics.count_code(error.code)
                response = error_response(error, request_id)
            if self.draining and not isinstance(response, StreamedResponse | CancellableResponse):
                response.headers["connection"] = "close"
            return response

        return endpoint

    def _authorized_workspace(self, headers: CallerHeaders) -> Workspace:
        if not self.is_ready:
            raise RefusedError(ResultCode.NOT_READY, "", 1.0)
        if len(self._service.run_by_id) >= self._section.max_requests:
            detail = f"{self._section.max_requests} requests are in progress here"
            raise RefusedError(ResultCode.QUEUE_FULL, detail, 1.0)
        if not headers.bearer_key:
            raise RefusedError(ResultCode.UNAUTHENTICATED, "no Authorization: Bearer header")
        resolved = self._configuration.workspace_of_key(headers.bearer_key)
        if resolved is None:
            raise RefusedError(ResultCode.UNAUTHENTICATED, "no workspace has this key")
        return resolved.workspace

    async def _chat(
        self, request: Request, headers: CallerHeaders, workspace: Workspace
    ) -> Response:
        return await self._run_model_request(request, headers, workspace, chat=True)

    async def _completions(
        self, request: Request, headers: CallerHeaders, workspace: Workspace
    ) -> Response:
        return await self._run_model_request(request, headers, workspace, chat=False)

    async def _run_model_request(
        self, request: Request, headers: CallerHeaders, workspace: Workspace, chat: bool
    ) -> Response:
        body = parse_json(await self._body(request))
        pools = self._service.link.directory.shards_by_pool
        spec = parse_request(body, headers, workspace, pools, chat)
        is_usage_wanted = wants_usage(body)
        if headers.resume_offset is not None:
            frames = self._service.resume(spec, headers.resume_offset)
        else:
            frames = self._service.run(spec)
        if spec.streaming:
            if is_usage_wanted:
                frames = with_usage(frames, spec, headers.resume_offset or 0)
            return StreamedResponse(frames, headers.request_id)
        return CancellableResponse(lambda: self._collect_response(spec, headers, frames))

    async def _collect_response(
        self, spec: RequestSpec, headers: CallerHeaders, frames: Any
    ) -> Response:
        try:
            async with aclosing(frames) as chunks:
                whole = b"".join([chunk async for chunk in chunks])
        except PimentoquayError as error:
            return error_response(error, headers.request_id)
        return JSONResponse(
            completion_body(whole, spec),
            headers={"x-request-id": headers.request_id, "x-result-code": "100"},
        )

    async def _models(
        self, request: Request, headers: CallerHeaders, workspace: Workspace
    ) -> Response:
        models = [
            {"id": model.name, "object": "model", "created": 0, "owned_by": workspace.name}
            for model in workspace.models
        ]
        return JSONResponse({"object": "list", "data": models})

    async def _call_service(
        self, request: Request, headers: CallerHeaders, workspace: Workspace
    ) -> Response:
        name, path = request.path_params["service"], request.path_params["path"]
        spec = service_of(workspace, name)
        if spec is None:
            is_known = name in self._service.link.directory.servers_by_service
            code = ResultCode.MODEL_FORBIDDEN if is_known else ResultCode.NOT_FOUND
            raise RefusedError(code, f"service {name[:60]!r}")
        if any(segment in (".", "..") for segment in path.split("/")):
            raise bad_request(f"path {path[:60]!r} leads out of the service")
        call = PlainCall(
            f"{workspace.name}/{headers.request_id}",
            request.method,
            "/" + path + (f"?{request.url.query}" if request.url.query else ""),
            await self._body(request),
            request.headers.get("content-type", ""),
        )
        once_only = is_once_only(spec, path)
        target = PlainTarget(workspace.name, spec, once_only, headers.idempotency_key)
        answer = await self._plain.call(target, call)
        return Response(
            answer.body,
            answer.status,
            {"x-request-id": headers.request_id, "x-result-code": "100"},
            answer.content_type or None,
        )

    async def _body(self, request: Request) -> bytes:
        """Return the complete body, within the configured size and time limits."""
        limit = self._section.max_body_bytes
        declared = request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > limit:
            raise RefusedError(ResultCode.BODY_TOO_LARGE, f"{declared} bytes, allowed: {limit}")
        body = bytearray()
        try:
            async with asyncio.timeout(self._section.body_seconds):
                async for chunk in request.stream():
                    body += chunk
                    if len(body) > limit:
                        detail = f"more than {limit} bytes"
                        raise RefusedError(ResultCode.BODY_TOO_LARGE, detail)
        except TimeoutError:
            detail = f"the body took longer than {self._section.body_seconds} s"
            raise RefusedError(ResultCode.BODY_TIMEOUT, detail) from None
        return bytes(body)

    async def _healthz(self, request: Request) -> Response:
        return JSONResponse({"status": "up"})

    async def _readyz(self, request: Request) -> Response:
        if self.draining:
            return error_response(RefusedError(ResultCode.SHUTTING_DOWN))
        if not self.is_ready:
            return error_response(RefusedError(ResultCode.NOT_READY, "", 1.0))
        return JSONResponse({"status": "ready", "configuration": self._configuration.offset})

    async def _metrics(self, request: Request) -> Response:
        text = self._service.metrics.text(len(self._service.run_by_id))
        return PlainTextResponse(text, media_type="text/plain; version=0.0.4")


async def _on_http_exception(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    logger.bind(path=request.url.path, status=error.status_code).debug("no such route")
    detail = f"{request.method} {request.url.path[:60]!r}"
    return error_response(RefusedError(ResultCode.NOT_FOUND, detail))
