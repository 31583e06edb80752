"""Deployments for benchmarks and tests: data centres, VMs, pools of engines, plain services."""

from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole

__all__ = [
    "BRAILLE_HOUSE",
    "PRINT_SERVICES",
    "Deployment",
    "EnginePlan",
    "Pool",
    "ServicePlan",
    "VmPlan",
]

_VM_COUNT = 7


@dataclass(frozen=True)
class Pool:
    """Number of engines of a model in each data centre, by role."""

    model: str
    prefill: int
    decode: int
    mixed: int


@dataclass(frozen=True)
class EnginePlan:
    """An engine of a deployment."""

    name: str
    model: str
    data_centre: str
    role: EngineRole


@dataclass(frozen=True)
class ServicePlan:
    """A plain service of a deployment."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class VmPlan:
    """An entry VM of a deployment."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class Deployment:
    """A region with its data centres; ``one_way_delay`` is the delay between them, in seconds."""

    region: str
    data_centres: tuple[str, ...]
    one_way_delay: float
    vm_count: int
    pools: tuple[Pool, ...]
    services: tuple[str, ...]

    def vms(self) -> tuple[VmPlan, ...]:
        """Return the entry VMs, spread evenly over the data centres."""
        names = self.data_centres
        return tuple(
            VmPlan(f"{self.region}-vm-{index + 1}", names[index % len(names)])
            for index in range(self.vm_count)
        )

    def engines(self) -> tuple[EnginePlan, ...]:
        """Return the engines, named after their model, data centre, role and number."""
        plans = []
        for data_centre in self.data_centres:
            for pool in self.pools:
                plans += _engines_of(pool, data_centre)
        return tuple(plans)

    def service_plans(self) -> tuple[ServicePlan, ...]:
        """Return the plain services, which are all in the first data centre."""
        return tuple(ServicePlan(name, self.data_centres[0]) for name in self.services)


def _engines_of(pool: Pool, data_centre: str) -> list[EnginePlan]:
    counts = (
        (EngineRole.PREFILL, "p", pool.prefill),
        (EngineRole.DECODE, "d", pool.decode),
        (EngineRole.MIXED, "m", pool.mixed),
    )
    return [
        EnginePlan(
            f"{pool.model}-{data_centre}-{letter}{number + 1}", pool.model, data_centre, role
        )
        for role, letter, count in counts
        for number in range(count)
    ]


PRINT_SERVICES = Deployment(
    region="tt-north",
    data_centres=("city-hall", "san-juan", "arima-hall"),
    one_way_delay=0.0005,
    vm_count=_VM_COUNT,
    pools=(Pool("diag-llm", 1, 1, 0), Pool("fleet-desk", 0, 0, 1)),
    services=("toner-orders", "job-status"),
)
"""Deployment of the Port of Spain Municipal Print Services."""

BRAILLE_HOUSE = Deployment(
    region="hue",
    data_centres=("hue-a", "hue-b", "hue-c"),
    one_way_delay=0.0015,
    vm_count=_VM_COUNT,
    pools=(Pool("proof-llm", 1, 1, 0), Pool("school-portal", 0, 0, 1)),
    services=("embosser",),
)
"""Deployment of the braille publisher Nhà Xuất Bản Chữ Nổi Hương Giang."""
