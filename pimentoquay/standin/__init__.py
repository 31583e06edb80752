"""Stand-ins (test doubles) for engines, plain services and the services of the platform.

The platform's services are the log, the membership list and the weight store. A plain service is
any backend server that is not a model engine. The same classes run in process, under real or
virtual time, and are served over HTTP by ``pimentoquay-standin``. They simulate durations, limits
and faults but no language model: an answer is a deterministic function of its prompt, so that a
test can check which request an answer belongs to.
"""

from pimentoquay.standin.directory import EngineDirectory
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.engine_model import EngineModel
from pimentoquay.standin.engine_record import EngineObservation, OrderRecord, RunRecord
from pimentoquay.standin.log import LogModel, StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.plain_service import PlainModel, PlainObservation, StandinPlain
from pimentoquay.standin.tokens import answer_text, answer_tokens, count_tokens
from pimentoquay.standin.weight_store import StandinWeights

__all__ = [
    "EngineDirectory",
    "EngineModel",
    "EngineObservation",
    "LogModel",
    "OrderRecord",
    "PlainModel",
    "PlainObservation",
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
