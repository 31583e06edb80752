"""Metrics of workspaces, of the order and placement of streams, and of what callers hold."""

from pimentoquay.kernel.metrics import Metric

__all__ = [
    "ALLOWANCES_UNDECIDED",
    "BYTES_HELD",
    "BYTES_LIMIT",
    "CALLERS_CONNECTED",
    "CALLERS_WAITING",
    "CONNECTIONS_ENDED",
    "ENGINES_MEASURED",
    "ENGINES_TOO_SLOW",
    "PREFILLS_TIMED_OUT",
    "REFUSED_OVER_ALLOWANCE",
    "REQUESTS_UNANSWERED",
    "RESIDENT_BYTES",
    "SPEED_CHANGES",
    "STREAMS_PLACED",
    "STREAMS_REFUSED",
    "UNAUTHENTICATED",
    "WORKSPACES_COUNTED",
    "WORKSPACE_REQUESTS",
]

REFUSED_OVER_ALLOWANCE = Metric(
    "pimentoquay_gateway_refused_over_allowance_total",
    "counter",
    "requests refused because the allowance of their workspace was used up",
)

ALLOWANCES_UNDECIDED = Metric(
    "pimentoquay_gateway_allowances_undecided_total",
    "counter",
    "requests refused because no gateway granted units of their workspace's allowance in time",
)

WORKSPACES_COUNTED = Metric(
    "pimentoquay_gateway_workspaces_counted",
    "gauge",
    "workspaces whose allowances this gateway grants to all, or would grant next",
)

ENGINES_MEASURED = Metric(
    "pimentoquay_gateway_engines_measured",
    "gauge",
    "engines whose speed is known from prefills",
)

SPEED_CHANGES = Metric(
    "pimentoquay_gateway_engine_speed_changes_total",
    "counter",
    "engines that have become slower or faster at prefills",
)

ENGINES_TOO_SLOW = Metric(
    "pimentoquay_gateway_engines_too_slow",
    "gauge",
    "decode engines that are used last, as their streams pause for too long",
)

PREFILLS_TIMED_OUT = Metric(
    "pimentoquay_gateway_prefills_timed_out_total",
    "counter",
    "prefills that were given up as they took longer than the queue of their engine explains",
)

STREAMS_PLACED = Metric(
    "pimentoquay_gateway_streams_placed_total",
    "counter",
    "streams that got memory at an engine, by priority; 0 is the highest",
    ("priority",),
)

STREAMS_REFUSED = Metric(
    "pimentoquay_gateway_streams_refused_total",
    "counter",
    "streams refused because memory would not have become free in time, by priority",
    ("priority",),
)

UNAUTHENTICATED = Metric(
    "pimentoquay_gateway_unauthenticated_total",
    "counter",
    "requests refused with 401, by why their key was not accepted",
    ("reason",),
)

WORKSPACE_REQUESTS = Metric(
    "pimentoquay_gateway_workspace_requests_total",
    "counter",
    "ended requests by workspace; only the first 200 workspaces of a process have a label of their"
    " own, the others are counted as `(other)`",
    ("workspace",),
)

BYTES_HELD = Metric(
    "pimentoquay_gateway_held_bytes", "gauge", "bytes held for callers, claims of room included"
)

BYTES_LIMIT = Metric(
    "pimentoquay_gateway_held_bytes_limit",
    "gauge",
    "budget of the bytes held for callers, by `memoryMb` less what the process needs itself",
)

RESIDENT_BYTES = Metric(
    "pimentoquay_gateway_resident_bytes", "gauge", "memory of the process, in bytes"
)

CALLERS_CONNECTED = Metric(
    "pimentoquay_gateway_caller_connections", "gauge", "connections of callers that are open"
)

CALLERS_WAITING = Metric(
    "pimentoquay_gateway_callers_waiting_for_room",
    "gauge",
    "connections of callers that are not read until there is room",
)

CONNECTIONS_ENDED = Metric(
    "pimentoquay_gateway_connections_ended_total",
    "counter",
    "connections of callers ended for want of room, by reason: `no room in time`, `many wait`, "
    "`no progress`, and at the limit of connections `idle` or `refused` (the new one)",
    ("reason",),
)

REQUESTS_UNANSWERED = Metric(
    "pimentoquay_gateway_requests_unanswered_total",
    "counter",
    "requests that were read, got no answer and reached no handler, by reason: `lost` if the"
    " connection ended while they were read, `behind_cut` if they were read behind one whose answer"
    " was broken off, and `behind_unread` if their caller did not read the answers before them",
    ("reason",),
)
