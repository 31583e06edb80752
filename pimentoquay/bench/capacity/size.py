"""The size designed for, and what follows from it alone."""

from dataclasses import dataclass

__all__ = ["DESIGN_SIZE", "SECONDS_PER_DAY", "Size"]

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True)
class Size:
    """A deployment's size; rates are a second at the peak unless a day is named.

    Targets are in seconds.
    """

    vms: int
    engines: int
    requests: float
    tokens: float
    workspaces: int
    models: int
    regions: int
    data_centres: int
    changes_per_day: int
    burst_changes_per_minute: int
    vm_changes_per_day: int
    hot_model_share: float
    first_token_target: float
    token_interval_target: float
    slots_per_engine: int
    shard_engines: int
    cpu_budget_percent: float
    memory_budget_mb: float
    traffic_budget: float

    @property
    def vms_per_data_centre(self) -> float:
        """Entry VMs of one data centre."""
        return self.vms / self.data_centres

    @property
    def engines_per_data_centre(self) -> float:
        """Engines of one data centre."""
        return self.engines / self.data_centres

    @property
    def requests_per_vm(self) -> float:
        """Requests a second through one VM."""
        return self.requests / self.vms

    @property
    def tokens_per_vm(self) -> float:
        """Tokens a second through one VM."""
        return self.tokens / self.vms

    @property
    def surge_after_a_loss(self) -> float:
        """Load of a data centre over its usual one, once another of its region is lost."""
        places = self.data_centres / self.regions
        return places / (places - 1)

    @property
    def requests_in_progress_per_vm(self) -> float:
        """Requests in progress through one VM when each just meets its targets."""
        tokens = self.tokens / self.requests
        return self.requests_per_vm * (
            self.first_token_target + tokens * self.token_interval_target
        )

    @property
    def hot_shards_per_data_centre(self) -> float:
        """Shards of the model that has the largest share of the load, in one data centre."""
        engines = self.engines_per_data_centre * self.hot_model_share
        return -(-engines // self.shard_engines)

    @property
    def hot_shard_requests(self) -> float:
        """Requests a second at one shard of the hottest model."""
        rate = self.requests / self.data_centres * self.hot_model_share
        return rate / self.hot_shards_per_data_centre


DESIGN_SIZE = Size(
    vms=520,
    engines=2800,
    requests=14_000,
    tokens=5.8e6,
    workspaces=8500,
    models=11,
    regions=6,
    data_centres=18,
    changes_per_day=5300,
    burst_changes_per_minute=500,
    vm_changes_per_day=2 * (1000 + 35),
    hot_model_share=0.4,
    first_token_target=1.1,
    token_interval_target=0.055,
    slots_per_engine=20,
    shard_engines=16,
    cpu_budget_percent=2.3,
    memory_budget_mb=256,
    traffic_budget=3000,
)
"""The size of the users' plan. A VM that is replaced changes the membership list twice."""
