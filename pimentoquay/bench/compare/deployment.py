"""The two deployments that are compared on: VMs, pools, and the kinds of request they serve."""

from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole
from pimentoquay.messages.placement import Urgency
from pimentoquay.messages.workspaces import KindSpec

__all__ = ["BRAILLE", "DEPLOYMENTS", "PRINT", "Deployment", "KindLoad", "PoolSpec"]

VMS_PER_DATA_CENTRE = (3, 2, 2)
"""Entry VMs of each data centre."""


@dataclass(frozen=True)
class KindLoad:
    """One kind of request: its pool's share of requests, and prompt sizes in tokens."""

    kind: KindSpec
    share: float
    min_prompt: int
    max_prompt: int


@dataclass(frozen=True)
class PoolSpec:
    """One pool: the roles of its engines in each data centre, and the kinds it serves."""

    name: str
    roles: tuple[EngineRole, ...]
    loads: tuple[KindLoad, ...]


@dataclass(frozen=True)
class Deployment:
    """One user's region; ``delay`` is one way between data centres, in seconds.

    ``prefill_seconds_per_token`` is such that prefill engines are busy about three quarters of
    the time when every decode slot is taken.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    delay: float
    pools: tuple[PoolSpec, ...]
    workspaces: tuple[str, ...]
    prefill_seconds_per_token: float


def _load(
    name: str,
    model: str,
    urgency: Urgency,
    first_token: float,
    prompt: tuple[int, int],
    max_tokens: int,
    share: float,
    idempotent: bool = True,
) -> KindLoad:
    kind = KindSpec(name, model, urgency, first_token, 0.055, 8000, max_tokens, idempotent)
    return KindLoad(kind, share, prompt[0], prompt[1])


_SPLIT = (EngineRole.PREFILL, EngineRole.DECODE)

PRINT = Deployment(
    "print-services",
    "tt-north",
    ("city-hall", "san-juan", "arima-hall"),
    0.0005,
    (
        PoolSpec(
            "diag-llm",
            _SPLIT,
            (
                _load("fault-log", "diag-llm", Urgency.PATIENT, 4.0, (400, 1600), 150, 0.5),
                _load("question", "diag-llm", Urgency.URGENT, 1.1, (40, 200), 60, 0.5),
            ),
        ),
        PoolSpec(
            "fleet-desk",
            (EngineRole.MIXED,),
            (
                _load("order", "fleet-desk", Urgency.URGENT, 1.1, (40, 120), 40, 0.4, False),
                _load("job-status", "fleet-desk", Urgency.NORMAL, 1.1, (30, 100), 60, 0.6),
            ),
        ),
    ),
    ("rates-hall", "burial-registry", "markets", "libraries"),
    0.0002,
)

BRAILLE = Deployment(
    "huong-giang",
    "hue",
    ("hue-a", "hue-b", "hue-c"),
    0.0015,
    (
        PoolSpec(
            "proof-llm",
            _SPLIT,
            (
                _load("chapter", "proof-llm", Urgency.PATIENT, 6.0, (1000, 2500), 120, 0.4),
                _load("note", "proof-llm", Urgency.NORMAL, 2.0, (200, 600), 80, 0.6),
            ),
        ),
        PoolSpec(
            "school-portal",
            (EngineRole.MIXED,),
            (_load("page", "school-portal", Urgency.URGENT, 1.1, (100, 400), 100, 1.0, False),),
        ),
    ),
    ("textbooks", "school-an-cuu", "school-phu-bai", "music"),
    0.0001,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (PRINT, BRAILLE)}
