"""Metrics of a gateway: request counts by result code, latencies and gauges."""

from collections import Counter
from collections.abc import Callable, Mapping

from pimentoquay.gateway.load_metrics import (
    ALLOWANCES_UNDECIDED,
    BYTES_HELD,
    BYTES_LIMIT,
    CALLERS_CONNECTED,
    CALLERS_WAITING,
    CONNECTIONS_ENDED,
    ENGINES_MEASURED,
    ENGINES_TOO_SLOW,
    PREFILLS_TIMED_OUT,
    REFUSED_OVER_ALLOWANCE,
    REQUESTS_UNANSWERED,
    RESIDENT_BYTES,
    SPEED_CHANGES,
    STREAMS_PLACED,
    STREAMS_REFUSED,
    UNAUTHENTICATED,
    WORKSPACE_REQUESTS,
    WORKSPACES_COUNTED,
)
from pimentoquay.http1 import HttpRequest, Reply
from pimentoquay.kernel import ResultCode
from pimentoquay.kernel.metrics import Metric, TimeSummary

__all__ = ["GATEWAY_METRICS", "GatewayMetrics"]

MAX_NAMES = 200
"""Most labels of a counter by names; 8,500 workspaces would make 600 KB of each scrape."""

OTHER_NAMES = "(other)"
"""Label of the names beyond ``MAX_NAMES``."""

REQUESTS = Metric(
    "pimentoquay_gateway_requests_total",
    "counter",
    "ended requests, by result code",
    ("code", "name"),
)
REQUEST_SECONDS = Metric(
    "pimentoquay_gateway_request_seconds", "summary", "arrival to end", ("quantile",)
)
FIRST_EVENT_SECONDS = Metric(
    "pimentoquay_gateway_first_event_seconds",
    "summary",
    "arrival to the first event of a stream",
    ("quantile",),
)
MEMORY_WAIT_SECONDS = Metric(
    "pimentoquay_gateway_memory_wait_seconds",
    "summary",
    "arrival to memory at a decode engine",
    ("quantile",),
)
IN_PROGRESS = Metric("pimentoquay_gateway_requests_active", "gauge", "requests in progress")
LIST_AGE = Metric(
    "pimentoquay_gateway_list_age_seconds", "gauge", "age of the list of engines, in seconds"
)
VERSION = Metric(
    "pimentoquay_gateway_configuration_version", "gauge", "version of the configuration in force"
)
WAITING = Metric(
    "pimentoquay_gateway_waiting_tokens", "gauge", "memory that streams wait for here, in tokens"
)
STORE_CALLS = Metric("pimentoquay_gateway_store_calls_total", "counter", "calls of the store")
CONNECTIONS = Metric(
    "pimentoquay_gateway_engine_connections_total", "counter", "connections opened to engines"
)
CONNECT_FAILURES = Metric(
    "pimentoquay_gateway_engine_connect_failures_total",
    "counter",
    "attempts to connect to engines that failed, by how",
    ("failure",),
)
ENGINES_UNREACHABLE = Metric(
    "pimentoquay_gateway_engines_unreachable",
    "gauge",
    "engines to which no connection could be opened since they last answered",
)
ENGINE_REQUESTS = Metric(
    "pimentoquay_gateway_engine_requests_total",
    "counter",
    "requests that engines have begun to answer, by way: direct or through a peer",
    ("way",),
)
ENGINES_CUT = Metric(
    "pimentoquay_gateway_engines_cut",
    "gauge",
    "engines that this gateway reaches only through peers",
)
TUNNELS_OPENED = Metric(
    "pimentoquay_gateway_tunnels_opened_total",
    "counter",
    "connections to engines opened through peers",
)
TUNNELS_CARRIED = Metric(
    "pimentoquay_gateway_tunnels_carried",
    "gauge",
    "connections of peers to engines that this gateway forwards",
)
TUNNELS_GRANTED = Metric(
    "pimentoquay_gateway_tunnels_granted_total",
    "counter",
    "connections to engines opened here for peers",
)
TUNNELS_REFUSED = Metric(
    "pimentoquay_gateway_tunnels_refused_total",
    "counter",
    "connections to engines that peers asked for and that were not opened",
)
PEERS = Metric("pimentoquay_gateway_peers", "gauge", "gateways that are known, this one included")
ENGINES_LEAVING = Metric(
    "pimentoquay_gateway_engines_leaving",
    "gauge",
    "engines that said in a response that they leave",
)
PAUSES = Metric(
    "pimentoquay_gateway_engine_pauses_total", "counter", "pauses that engines have requested"
)
SENDS_WITHHELD = Metric(
    "pimentoquay_gateway_sends_withheld_total",
    "counter",
    "requests and calls that were not sent because their engine had requested a pause",
)
STORE_ERA = Metric(
    "pimentoquay_gateway_store_era",
    "gauge",
    "era of the store, which rises when it is restored from a copy",
)
OVERSIZED = Metric(
    "pimentoquay_gateway_oversized_responses_total",
    "counter",
    "responses of engines that were cut off for their size",
)

ENGINE_CRASHES = Metric(
    "pimentoquay_gateway_engine_crashes_total",
    "counter",
    "requests seen here at an engine when it crashed",
)
PROMPTS_SUSPECTED = Metric(
    "pimentoquay_gateway_prompt_parts_suspected",
    "gauge",
    "parts of prompts, and requests, that may have crashed engines",
)
PROMPTS_QUARANTINED = Metric(
    "pimentoquay_gateway_prompts_quarantined",
    "gauge",
    "requests and combinations of parts of prompts that are refused after crashes under them",
)
PROMPT_TRIALS = Metric(
    "pimentoquay_gateway_prompt_trials_total",
    "counter",
    "requests that were sent in spite of a quarantine, to learn whether it is right",
)

REFUSED_IN_QUARANTINE = Metric(
    "pimentoquay_gateway_refused_in_quarantine_total",
    "counter",
    "requests refused because engines have crashed under them or under their prompt",
)

ENGINES_LIMITED = Metric(
    "pimentoquay_gateway_engines_limited",
    "gauge",
    "engines that name a limit of the requests a second which they take from all VMs",
)
REFUSED_OVER_LIMIT = Metric(
    "pimentoquay_gateway_refused_over_limit_total",
    "counter",
    "requests refused because the limits of all engines were used up",
)
REFUSED_IN_STOP = Metric(
    "pimentoquay_gateway_refused_in_stop_total",
    "counter",
    "requests refused because the gateway stops before they would end",
)

SERVICES_MIXED = Metric(
    "pimentoquay_gateway_services_mixed",
    "gauge",
    "services of which engines of several software versions have served lately",
)
STREAM_ORIGINS = Metric(
    "pimentoquay_gateway_stream_origins",
    "gauge",
    "streams of which the software version that began them is known here",
)
RESUMPTIONS_REFUSED = Metric(
    "pimentoquay_gateway_resumptions_refused_total",
    "counter",
    "resumptions refused because the software version that began the stream is not known",
)

RESUMPTIONS = Metric(
    "pimentoquay_gateway_resumptions_total",
    "counter",
    "streams that callers took up, by how the version that began them was known: `own`, `told`, "
    "`only version`, `awaited` (the entry of its engine) or `unknown`, and why this gateway may "
    "have been out of step",
    ("origin",),
)

CONTINUED = Metric(
    "pimentoquay_gateway_continued_streams_total",
    "counter",
    "streams that had begun before, by how their wait for memory ended",
    ("outcome",),
)
PROMPTS_WASTED = Metric(
    "pimentoquay_gateway_prompt_tokens_wasted_total",
    "counter",
    "tokens of prompts that engines read for nothing, by why the run did not end; without those of "
    "requests that an engine preempted",
    ("reason",),
)
INPUTS_REFUSED = Metric(
    "pimentoquay_gateway_inputs_refused_total",
    "counter",
    "invalid records and entries that were passed over, by what they were",
    ("kind",),
)
MESSAGES_REFUSED = Metric(
    "pimentoquay_gateway_messages_refused_total",
    "counter",
    "messages to other gateways that were too large to send, and received ones that were invalid",
    ("direction",),
)
ANSWERS_CUT = Metric(
    "pimentoquay_gateway_answers_cut_total",
    "counter",
    "requests that were sent to an engine and ended without a complete answer, by"
    " reason: `caller_left`, `gateway_ended`, `handler_failed`, or the name of a result code",
    ("reason",),
)

_GAUGES = (
    IN_PROGRESS,
    LIST_AGE,
    VERSION,
    WAITING,
    STORE_CALLS,
    STORE_ERA,
    CONNECTIONS,
    ENGINES_UNREACHABLE,
    ENGINES_CUT,
    TUNNELS_OPENED,
    TUNNELS_CARRIED,
    TUNNELS_GRANTED,
    TUNNELS_REFUSED,
    PEERS,
    ENGINES_LEAVING,
    PAUSES,
    SENDS_WITHHELD,
    OVERSIZED,
    ENGINE_CRASHES,
    PROMPTS_SUSPECTED,
    PROMPTS_QUARANTINED,
    PROMPT_TRIALS,
    ENGINES_LIMITED,
    REFUSED_IN_QUARANTINE,
    REFUSED_OVER_LIMIT,
    REFUSED_IN_STOP,
    REFUSED_OVER_ALLOWANCE,
    ALLOWANCES_UNDECIDED,
    WORKSPACES_COUNTED,
    SERVICES_MIXED,
    STREAM_ORIGINS,
    RESUMPTIONS_REFUSED,
    ENGINES_MEASURED,
    SPEED_CHANGES,
    ENGINES_TOO_SLOW,
    PREFILLS_TIMED_OUT,
    BYTES_HELD,
    BYTES_LIMIT,
    RESIDENT_BYTES,
    CALLERS_CONNECTED,
    CALLERS_WAITING,
)
_COUNTERS = (
    CONNECT_FAILURES,
    ENGINE_REQUESTS,
    RESUMPTIONS,
    CONTINUED,
    STREAMS_PLACED,
    STREAMS_REFUSED,
    INPUTS_REFUSED,
    MESSAGES_REFUSED,
    PROMPTS_WASTED,
    ANSWERS_CUT,
    REQUESTS_UNANSWERED,
    UNAUTHENTICATED,
    WORKSPACE_REQUESTS,
    CONNECTIONS_ENDED,
)
_SUMMARIES = (REQUEST_SECONDS, FIRST_EVENT_SECONDS, MEMORY_WAIT_SECONDS)

GATEWAY_METRICS = (REQUESTS, *_GAUGES, *_COUNTERS, *_SUMMARIES)
"""All metrics in the order of the exported text."""


class NameCounts:
    """Counts by names that operators choose, in a bounded number of labels."""

    def __init__(self) -> None:
        self.count_by_label: Counter[str] = Counter()
        self._label_by_name: dict[str, str] = {}

    def count(self, name: str) -> None:
        """Count one event of a name."""
        label = self._label_by_name.get(name)
        if label is None:
            label = OTHER_NAMES
            if len(self._label_by_name) < MAX_NAMES:
                label = name.replace("\\", "\\\\").replace('"', '\\"')
                self._label_by_name[name] = label
        self.count_by_label[label] += 1


class GatewayMetrics:
    """Counters and latency summaries of one gateway.

    ``value_by_gauge`` holds a function for each gauge that returns its current value, and
    ``values_by_counter`` one for each labelled counter that returns its values by label.
    """

    def __init__(self) -> None:
        self.count_by_code: Counter[ResultCode] = Counter()
        self.cut_by_reason: Counter[str] = Counter()
        self.unauthenticated_by_reason: Counter[str] = Counter()
        self.requests_by_workspace = NameCounts()
        self.value_by_gauge: dict[Metric, Callable[[], float]] = {}
        self.values_by_counter: dict[Metric, Callable[[], Mapping[str, float]]] = {
            ANSWERS_CUT: lambda: self.cut_by_reason,
            UNAUTHENTICATED: lambda: self.unauthenticated_by_reason,
            WORKSPACE_REQUESTS: lambda: self.requests_by_workspace.count_by_label,
        }
        self._summary_by_metric = {metric: TimeSummary() for metric in _SUMMARIES}

    def record_request_end(self, code: ResultCode, seconds: float) -> None:
        """Record the result code and the duration, in seconds, of a request that ended."""
        self.count_by_code[code] += 1
        self._summary_by_metric[REQUEST_SECONDS].record(seconds)

    def record_first_event(self, seconds: float) -> None:
        """Record the seconds from a stream's arrival to its first event."""
        self._summary_by_metric[FIRST_EVENT_SECONDS].record(seconds)

    def record_memory_wait(self, seconds: float) -> None:
        """Record the seconds from a stream's arrival to its memory reservation."""
        self._summary_by_metric[MEMORY_WAIT_SECONDS].record(seconds)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = REQUESTS.head()
        for code, count in sorted(self.count_by_code.items()):
            lines.append(f'{REQUESTS.name}{{code="{int(code)}",name="{code.name}"}} {count}')
        for gauge in _GAUGES:
            value = self.value_by_gauge.get(gauge, lambda: 0.0)()
            lines += [*gauge.head(), f"{gauge.name} {value:g}"]
        for counter in _COUNTERS:
            values = self.values_by_counter.get(counter, dict)()
            label = counter.labels[0]
            lines += counter.head()
            lines += [
                f'{counter.name}{{{label}="{key}"}} {value:g}' for key, value in values.items()
            ]
        for metric, summary in self._summary_by_metric.items():
            lines += summary.lines(metric)
        return "\n".join(lines) + "\n"

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Respond to an HTTP request for the metrics."""
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        reply.send(200, headers, self.text().encode())
