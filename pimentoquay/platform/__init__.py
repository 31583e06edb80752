"""The adapter to the users' platform: its names, formats and calls, and nothing that decides.

Everything that the platform sends is decoded here once, into the types of ``policy.fleet`` and of
this subpackage, in the project's words and with units. No other subpackage knows a header, path or
field name of the platform; a test holds that.
"""

from pimentoquay.platform.answers import AnswerFacts, PrefillResult, read_answer, read_prefill
from pimentoquay.platform.configuration import decode_configuration
from pimentoquay.platform.engine_calls import EngineCall, EngineCalls, OrderOutcome
from pimentoquay.platform.engine_entry import decode_engine_entry
from pimentoquay.platform.requests import CallerRequest, SendOptions, read_request, send_headers
from pimentoquay.platform.settings import DeploymentSettings, load_deployment
from pimentoquay.platform.store import (
    KeyedRecord,
    RecordPage,
    RecordsGoneError,
    StoreClient,
    StoreError,
)

__all__ = [
    "AnswerFacts",
    "CallerRequest",
    "DeploymentSettings",
    "EngineCall",
    "EngineCalls",
    "KeyedRecord",
    "OrderOutcome",
    "PrefillResult",
    "RecordPage",
    "RecordsGoneError",
    "SendOptions",
    "StoreClient",
    "StoreError",
    "decode_configuration",
    "decode_engine_entry",
    "load_deployment",
    "read_answer",
    "read_prefill",
    "read_request",
    "send_headers",
]
