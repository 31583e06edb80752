"""Size of a deployment, and the rates and counts derived from it."""

from dataclasses import dataclass

__all__ = ["DESIGN_SIZE", "SECONDS_PER_DAY", "Size"]

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True)
class Size:
    """Size and peak load of a deployment.

    Parameters
    ----------
    requests, tokens : float
        Requests and tokens per second at the peak, over all VMs.
    vm_changes_per_day : int
        Changes of the membership list per day that concern VMs.
    hot_model_share : float
        Share of all requests that are for the most used model.
    first_token_target, token_interval_target : float
        Targets of the time to the first token and between tokens, in seconds.
    slots_per_engine : int
        Decode slots of an engine.
    shard_engines : int
        Maximum number of engines in a shard.
    cpu_budget_percent, memory_budget_mb, traffic_budget : float
        Budgets of a VM: processor time in percent, memory in MB, and control traffic in bytes per
        second.
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
        """Number of entry VMs in a data centre."""
        return self.vms / self.data_centres

    @property
    def engines_per_data_centre(self) -> float:
        """Number of engines in a data centre."""
        return self.engines / self.data_centres

    @property
    def requests_per_vm(self) -> float:
        """Requests per second through a VM."""
        return self.requests / self.vms

    @property
    def tokens_per_vm(self) -> float:
        """Tokens per second through a VM."""
        return self.tokens / self.vms

    @property
    def load_factor_after_loss(self) -> float:
        """Factor by which a data centre's load grows when another one of its region is lost."""
        data_centres_per_region = self.data_centres / self.regions
        return data_centres_per_region / (data_centres_per_region - 1)

    @property
    def requests_in_progress_per_vm(self) -> float:
        """Number of requests in progress through a VM if each just meets its targets."""
        tokens = self.tokens / self.requests
        return self.requests_per_vm * (
            self.first_token_target + tokens * self.token_interval_target
        )

    @property
    def hot_shards_per_data_centre(self) -> float:
        """Number of shards of the most used model in a data centre."""
        engines = self.engines_per_data_centre * self.hot_model_share
        return -(-engines // self.shard_engines)

    @property
    def hot_shard_requests(self) -> float:
        """Requests per second at a shard of the most used model."""
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
"""Size that the system is designed for.

A VM that is replaced changes the membership list twice, so changes of VMs count double.
"""
