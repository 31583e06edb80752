"""Adapter to the platform that Pimentoquay runs on: its names, formats and calls.

Everything that the platform sends is decoded here into the types of ``policy.fleet`` and of this
subpackage, which use the project's names and state their units. The adapter makes no decisions. No
other subpackage uses a header, path or field name of the platform; a test checks that.
"""

from pimentoquay.platform.configuration import ConfigurationDecoder, decode_configuration
from pimentoquay.platform.engine_calls import EngineCall, EngineCalls, OrderOutcome
from pimentoquay.platform.engine_entry import decode_engine_entry
from pimentoquay.platform.requests import CallerRequest, SendOptions, engine_headers, parse_request
from pimentoquay.platform.responses import parse_prefill, parse_response
from pimentoquay.platform.settings import DeploymentSettings, load_deployment_settings
from pimentoquay.platform.store import (
    KeyedRecord,
    RecordPage,
    RecordsGoneError,
    StoreClient,
    StoreError,
)

__all__ = [
    "CallerRequest",
    "ConfigurationDecoder",
    "DeploymentSettings",
    "EngineCall",
    "EngineCalls",
    "KeyedRecord",
    "OrderOutcome",
    "RecordPage",
    "RecordsGoneError",
    "SendOptions",
    "StoreClient",
    "StoreError",
    "decode_configuration",
    "decode_engine_entry",
    "engine_headers",
    "load_deployment_settings",
    "parse_prefill",
    "parse_request",
    "parse_response",
]
