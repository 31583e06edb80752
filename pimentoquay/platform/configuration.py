"""Decode the operators' configuration from the platform's store."""

from dataclasses import replace
from typing import Any

from pimentoquay.http1 import ServerLimits
from pimentoquay.kernel.input_checks import valid_or
from pimentoquay.platform.fields import DecodeError, optional, parse_json, read_seconds, required
from pimentoquay.platform.workspaces import WorkspaceDecoder
from pimentoquay.policy.fleet import (
    FleetConfiguration,
    RepeatRule,
    Route,
    Service,
    ServiceShare,
    TokenMemory,
)

__all__ = ["ConfigurationDecoder", "decode_configuration"]

_REPEAT_BY_KIND = {
    "idempotent": RepeatRule.IDEMPOTENT,
    "non_idempotent": RepeatRule.ONCE,
    "stream": RepeatRule.STREAM,
}


WORKSPACES_AT_ONCE = 64
"""Number of workspaces that are decoded at once, in about 1 ms."""


class ConfigurationDecoder:
    """Decodes a configuration by and by, as thousands of workspaces take a tenth of a second.

    Whether it is valid shows at once: ``DecodeError`` is raised by the constructor only.

    Parameters
    ----------
    data
        The configuration as JSON.
    """

    def __init__(self, data: bytes) -> None:
        item = parse_json(data, "configuration")
        self._configuration = _decode(item)
        self._workspaces = WorkspaceDecoder(item)
        self.version = self._configuration.version

    def decode_more(self) -> bool:
        """Decode some more workspaces; return whether there may be others."""
        return self._workspaces.decode(WORKSPACES_AT_ONCE)

    def result(self) -> FleetConfiguration:
        """Return the configuration with the workspaces that were decoded."""
        return replace(self._configuration, workspaces=self._workspaces.table())


def decode_configuration(data: bytes) -> FleetConfiguration:
    """Decode a configuration; raise ``DecodeError`` if it is invalid."""
    decoder = ConfigurationDecoder(data)
    while decoder.decode_more():
        pass
    return decoder.result()


def _decode(item: dict[str, Any]) -> FleetConfiguration:
    routes = tuple(_route(route) for route in required(item, "routes", list))
    services = tuple(_service(service) for service in required(item, "services", list))
    return FleetConfiguration(
        version=required(item, "version", int),
        routes=routes,
        service_by_name={service.name: service for service in services},
        limits=_limits(optional(item, "limits", dict, {})),
    )


def _route(item: dict[str, Any]) -> Route:
    kind = required(item, "kind", str)
    if kind not in _REPEAT_BY_KIND:
        raise DecodeError(f"kind = {kind!r}: expected one of {sorted(_REPEAT_BY_KIND)}")
    return Route(
        name=optional(item, "name", str, ""),
        host=required(item, "host", str).lower(),
        path_prefix=required(item, "pathPrefix", str),
        repeat=_REPEAT_BY_KIND[kind],
        timeout_seconds=read_seconds(item, "timeoutMs"),
        target_seconds=read_seconds(item, "targetLatencyMs"),
        shares=_shares(item),
        max_engines=optional(item, "maxAttempts", int, 1),
        rank=valid_or(0, item.get("priority"), "priority of a route", item.get("name")),
        is_resumable=optional(item, "resumable", bool, False),
        # Set on routes whose requests state a model, token counts and prompt parts.
        has_model_requests=optional(item, "stickySessions", bool, False),
        gap_seconds=read_seconds(item, "gapTargetMs", 1000.0),
        is_public=optional(item, "public", bool, False),
    )


def _shares(item: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = optional(item, "trafficSplit", list, [])
    if not split:
        return (ServiceShare(required(item, "service", str), 1.0),)
    return tuple(
        ServiceShare(required(part, "service", str), required(part, "weight", float))
        for part in split
    )


def _service(item: dict[str, Any]) -> Service:
    # Despite its name, the field holds the memory settings of all engines of the service.
    engine = optional(item, "engineId", dict, {})
    return Service(
        name=required(item, "name", str),
        health_path=optional(item, "healthPath", str, "/health"),
        max_connections=optional(item, "maxConns", int, 100),
        memory=_memory(engine) if engine else None,
    )


def _memory(item: dict[str, Any]) -> TokenMemory:
    return TokenMemory(
        slots=required(item, "slotCount", int, 1),
        capacity_tokens=required(item, "kvTokens", int, 1),
        bytes_per_token=optional(item, "kvTokenBytes", int, 0),
        handle_seconds=optional(item, "handleTtlS", float, 0.5),
        longest_hold_seconds=read_seconds(item, "holdMs", 0.0),
        event_tokens=optional(item, "stride", int, 1, 1),
        change_seconds=optional(item, "switchS", float, 6.0),
    )


def _limits(item: dict[str, Any]) -> ServerLimits:
    default = ServerLimits()
    return ServerLimits(
        header_bytes=optional(item, "maxHeaderBytes", int, default.header_bytes),
        body_bytes=optional(item, "maxBodyBytes", int, default.body_bytes),
        header_seconds=read_seconds(item, "headerTimeoutMs", default.header_seconds * 1000),
        idle_seconds=read_seconds(item, "idleTimeoutMs", default.idle_seconds * 1000),
    )
