"""The two deployments of the comparison: their VMs, pools and kinds of request."""

from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole
from pimentoquay.messages.placement import Urgency
from pimentoquay.messages.workspaces import KindSpec

__all__ = ["BRAILLE", "DEPLOYMENTS", "PRINT", "Deployment", "KindLoad", "PoolSpec"]

VMS_PER_DATA_CENTRE = (3, 2, 2)
"""Number of entry VMs in each data centre."""


@dataclass(frozen=True)
class KindLoad:
    """A kind of request: its share of the pool's requests and its prompt lengths in tokens."""

    kind: KindSpec
    share: float
    min_prompt: int
    max_prompt: int


@dataclass(frozen=True)
class PoolSpec:
    """A pool: the roles of its engines in each data centre and the kinds of request it serves."""

    name: str
    roles: tuple[EngineRole, ...]
    loads: tuple[KindLoad, ...]


@dataclass(frozen=True)
class Deployment:
    """A region with its data centres, pools and workspaces.

    ``delay`` is the one-way network delay between data centres, in seconds. The value of
    ``prefill_seconds_per_token`` keeps the prefill engines busy for about three quarters of the
    time when every decode slot is in use.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    delay: float
    pools: tuple[PoolSpec, ...]
    workspaces: tuple[str, ...]
    prefill_seconds_per_token: float


def _make_load(
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
                _make_load("fault-log", "diag-llm", Urgency.PATIENT, 4.0, (400, 1600), 150, 0.5),
                _make_load("question", "diag-llm", Urgency.URGENT, 1.1, (40, 200), 60, 0.5),
            ),
        ),
        PoolSpec(
            "fleet-desk",
            (EngineRole.MIXED,),
            (
                _make_load("order", "fleet-desk", Urgency.URGENT, 1.1, (40, 120), 40, 0.4, False),
                _make_load("job-status", "fleet-desk", Urgency.NORMAL, 1.1, (30, 100), 60, 0.6),
            ),
        ),
    ),
    ("rates-hall", "burial-registry", "markets", "libraries"),
    0.0002,
)
"""Print services of a city; its pool ``fleet-desk`` has engines that prefill and decode."""

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
                _make_load("chapter", "proof-llm", Urgency.PATIENT, 6.0, (1000, 2500), 120, 0.4),
                _make_load("note", "proof-llm", Urgency.NORMAL, 2.0, (200, 600), 80, 0.6),
            ),
        ),
        PoolSpec(
            "school-portal",
            (EngineRole.MIXED,),
            (
                _make_load(
                    "page", "school-portal", Urgency.URGENT, 1.1, (100, 400), 100, 1.0, False
                ),
            ),
        ),
    ),
    ("textbooks", "school-an-cuu", "school-phu-bai", "music"),
    0.0001,
)
"""Braille publisher with long prompts; its pool ``school-portal`` has mixed engines."""

DEPLOYMENTS = {deployment.name: deployment for deployment in (PRINT, BRAILLE)}
"""Deployments by their name on the command line."""
