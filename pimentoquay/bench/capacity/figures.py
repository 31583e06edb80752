"""Computes the load of each role at a deployment size from measured slopes.

A figure is a slope times a size; nothing is measured here. ``Slopes`` looks slopes up by name and
raises an error for a slope that is no longer measured, so that no outdated figure remains.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pimentoquay.bench.capacity.size import SECONDS_PER_DAY, Size
from pimentoquay.bench.slopes.slope import Slope
from pimentoquay.configuration.ranks import FAN_OUT
from pimentoquay.scheduler.settings import SchedulerSection

__all__ = ["Row", "Slopes", "compute_figures"]

MESSAGES_PER_REQUEST = 6
"""Messages of a request: placement request, grant, three stage reports, release."""

ENDS_PER_ROUND_TRIP = 4
"""Sends and receipts of a round trip: two messages, each sent at one end and received at one."""

QUIET_STATUS_PERIOD_SECONDS = SchedulerSection().quiet_status_period
"""Interval between status requests to an engine whose holdings match the ledger, in seconds."""

_US_PER_SECOND = 1e6
_BYTES_PER_MB = 1e6


class Slopes:
    """Medians of measured slopes by name and by kind of item, such as token or request."""

    def __init__(self, slopes: Iterable[Slope]) -> None:
        self._median_by_name = {(slope.name, slope.per): slope.median for slope in slopes}

    def __call__(self, name: str, per: str) -> float:
        """Return the median of a slope; raise ``LookupError`` if it was not measured."""
        try:
            return self._median_by_name[name, per]
        except KeyError:
            raise LookupError(f"no slope {name!r} per {per!r} was measured") from None


@dataclass(frozen=True)
class Row:
    """Row of the capacity page: a figure with its unit.

    ``mechanism`` names the mechanism that limits the figure.
    """

    role: str
    quantity: str
    value: float
    unit: str
    mechanism: str


def compute_figures(size: Size, slopes: Slopes) -> tuple[Row, ...]:
    """Return all figures of the page for a deployment size."""
    return (
        *_entry_rows(size, slopes),
        *_scheduler_rows(size, slopes),
        *_membership_rows(size, slopes),
        *_configuration_rows(size, slopes),
        *_log_rows(size, slopes),
        *_data_centre_loss_rows(size, slopes),
        *_full_restart_rows(size, slopes),
    )


def _percent(microseconds_per_second: float) -> float:
    return microseconds_per_second / _US_PER_SECOND * 100


def _entry_rows(size: Size, slopes: Slopes) -> list[Row]:
    tokens = size.tokens_per_vm * slopes("relay, both sides", "token")
    requests = size.requests_per_vm * slopes("request at the entry, no scheduler", "request")
    index = size.workspaces * slopes("memory of a workspace in force", "workspace") / _BYTES_PER_MB
    held = size.requests_in_progress_per_vm
    memory = held * slopes("memory of a held request, both sides", "request") / _BYTES_PER_MB
    events = size.requests_per_vm * slopes("events on the time line of the entry", "request")
    timeline = events * slopes("recording an event", "event")
    role = "entry, a VM"
    return [
        Row(role, "relay of tokens", _percent(tokens), "% of a core", "frames are copied unread"),
        Row(role, "requests", _percent(requests), "% of a core", "one state machine a request"),
        Row(role, "requests in progress", held, "requests", "at the targets' own pace"),
        Row(role, "memory of those", memory, "MB", "one lease at each scheduler, not one each"),
        Row(role, "time line", _percent(timeline), "% of a core", "no event for a token"),
        Row(role, "configuration index", index, "MB", "deltas from the VM's control"),
    ]


def _scheduler_rows(size: Size, slopes: Slopes) -> list[Row]:
    role = "scheduler, busiest shard"
    message = slopes("round trip, both ends", "placement request") / ENDS_PER_ROUND_TRIP
    time_per_request = slopes("scheduling a request", "request") + MESSAGES_PER_REQUEST * message
    grants = size.shard_engines * size.slots_per_engine
    memory = grants * slopes("memory of a held grant", "grant") / _BYTES_PER_MB
    idle_load = _percent(slopes("scheduler at rest, 16 engines", "second"))
    received = size.hot_shard_requests * slopes("size of placement request", "message")
    reports = size.shard_engines / QUIET_STATUS_PERIOD_SECONDS
    idle, running = "an idle engine's report", size.slots_per_engine
    report = slopes(f"size of {idle}", "report")
    busy = report + running * slopes("size of a report", "running request")
    reading = slopes(f"reading {idle}", "report")
    reading += running * slopes("reading a report", "running request")
    mechanism = f"shards of at most {size.shard_engines} engines, rendezvous owners"
    return [
        Row(role, "requests", size.hot_shard_requests, "requests/s", mechanism),
        Row(
            role,
            "placing them",
            _percent(size.hot_shard_requests * time_per_request),
            "% of a core",
            "EDF",
        ),
        Row(role, "placement requests received", received / 1000, "kB/s", "with the load"),
        Row(role, "at rest", idle_load, "% of a core", "one watcher an engine"),
        Row(role, "reports of idle engines", reports * report, "B/s", "looked at seldom when calm"),
        Row(role, "reports of full engines", reports * busy, "B/s", "looked at seldom when calm"),
        Row(role, "reading those", _percent(reports * reading), "% of a core", "one look each"),
        Row(role, "ledger, every slot granted", memory, "MB", "soft state, rebuilt"),
    ]


def _membership_rows(size: Size, slopes: Slopes) -> list[Row]:
    role = "membership, a VM"
    peers = size.vms_per_data_centre - 1
    heartbeat_rate = peers * slopes("membership sent in steady state", "peer of the data centre")
    changes = size.vm_changes_per_day / SECONDS_PER_DAY
    relays = changes * slopes("membership sent, 1000 engines", "change")
    shards = size.engines * slopes("division into shards, 2800 engines", "engine")
    others = size.data_centres - 1
    name = "membership sent by a whole data centre"
    mesh_rate = others * slopes(name, "other data centre")
    mean_mesh_rate = mesh_rate / size.vms_per_data_centre
    return [
        Row(
            role,
            "mesh to other data centres, mean",
            mean_mesh_rate,
            "B/s",
            "two gateways to each other one",
        ),
        Row("membership, a data centre", "mesh to the others", mesh_rate, "B/s", "gateways"),
        Row(role, "heartbeats sent", heartbeat_rate, "B/s", "full mesh within a data centre only"),
        Row(role, "changes of the list sent", relays, "B/s", "only what changed, once"),
        Row(role, "division into shards", _percent(changes * shards), "% of a core", "on change"),
    ]


def _configuration_rows(size: Size, slopes: Slopes) -> list[Row]:
    relay = slopes("relay of one change to a VM", "change")
    rate = size.changes_per_day / SECONDS_PER_DAY
    per_burst = f"burst of {size.burst_changes_per_minute} changes in a minute"
    sent = slopes("sent by the VM that sends most", per_burst)
    received = slopes("received by the VM that receives most", per_burst)
    in_force = slopes("longest time until in force", per_burst)
    fold = size.burst_changes_per_minute / 60 * slopes("fold a change", "workspace")
    memory = size.workspaces * slopes("memory of a workspace in force", "workspace") / _BYTES_PER_MB
    role, burst = "configuration, a VM", "burst of 500 a minute"
    day = rate * relay
    return [
        Row(role, "changes sent over a day", day * FAN_OUT, "B/s", "a tree two wide"),
        Row(role, "changes received over a day", day, "B/s", "pushed, only what changed"),
        Row(role, f"{burst}, most sent", sent, "B/s", "gathered, compressed, a tree"),
        Row(role, f"{burst}, most received", received, "B/s", "gathered, compressed, a tree"),
        Row(role, f"{burst}, in force everywhere", in_force, "s", "gathered for a second"),
        Row(role, "folding the burst", _percent(fold), "% of a core", "one pure fold"),
        Row(role, "state in force", memory, "MB", "every VM holds all workspaces"),
    ]


def _log_rows(size: Size, slopes: Slopes) -> list[Row]:
    changes = size.burst_changes_per_minute / 60
    checkpoint = size.workspaces * slopes("appends of a checkpoint", "workspace")
    size_mb = size.workspaces * slopes("checkpoint on the log", "workspace") / _BYTES_PER_MB
    shards = size.models * size.data_centres
    return [
        Row("log service", "changes in the burst", changes, "appends/s", "one append a change"),
        Row("log service", "a checkpoint", checkpoint, "appends", "parts of many workspaces"),
        Row("log service", "a checkpoint", size_mb, "MB", "before records age out"),
        Row("log service", "claims after a full restart", shards, "appends", "one a shard"),
    ]


def _data_centre_loss_rows(size: Size, slopes: Slopes) -> list[Row]:
    role = "loss of a data centre, a VM of its region"
    requests = size.requests_per_vm * size.load_factor_after_loss
    tokens = size.tokens_per_vm * size.load_factor_after_loss * slopes("relay, both sides", "token")
    entry = requests * slopes("request at the entry, no scheduler", "request")
    mechanism = "the balancer; every VM holds every workspace"
    return [
        Row(role, "requests", requests, "requests/s", mechanism),
        Row(role, "relay of tokens", _percent(tokens), "% of a core", "frames are copied unread"),
        Row(role, "starting them", _percent(entry), "% of a core", "one state machine a request"),
    ]


def _full_restart_rows(size: Size, slopes: Slopes) -> list[Row]:
    role = "full restart, a VM"
    whole = size.workspaces * slopes("whole configuration to a new VM", "workspace") / _BYTES_PER_MB
    import_seconds = (
        size.workspaces * slopes("take a workspace from a peer", "workspace") / _US_PER_SECOND
    )
    index = size.workspaces * slopes("index a workspace at the entry", "workspace")
    return [
        Row(role, "configuration received", whole, "MB", "from a peer or the checkpoint"),
        Row(role, "taking it", import_seconds, "s of a core", "one pass"),
        Row(role, "indexing it at the entry", index / _US_PER_SECOND, "s of a core", "one pass"),
    ]
