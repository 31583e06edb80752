"""Small stand-ins for what the platform gives: engines, services, log, membership, weights.

The same classes run in process, under real or virtual time, and served over HTTP by
``pimentoquay-standin``. They model costs and faults, not language: an answer is a deterministic
function of its prompt, so that a test can check whose answer a caller received.
"""

from pimentoquay.standin.directory import EngineDirectory
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.engine_model import EngineModel
from pimentoquay.standin.engine_record import EngineObserved, OrderRecord, RunRecord
from pimentoquay.standin.log import LogModel, StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.plain_service import PlainModel, PlainObserved, StandinPlain
from pimentoquay.standin.tokens import answer_text, answer_tokens, count_tokens
from pimentoquay.standin.weight_store import StandinWeights

__all__ = [
    "EngineDirectory",
    "EngineModel",
    "EngineObserved",
    "LogModel",
    "OrderRecord",
    "PlainModel",
    "PlainObserved",
    "RunRecord",
    "StandinEngine",
    "StandinLog",
    "StandinMembership",
    "StandinPlain",
    "StandinWeights",
    "answer_text",
    "answer_tokens",
    "count_tokens",
]
