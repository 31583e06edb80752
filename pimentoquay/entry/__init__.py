"""The entry process: HTTP for callers, and running, relaying, resuming and draining requests.

``RequestService`` runs a ``RequestSpec`` from its placement to the last token and is independent
of HTTP. ``SchedulerLink`` is the task that owns the channels to schedulers.
"""

from pimentoquay.entry.metrics import EntryMetrics, RequestOutcome
from pimentoquay.entry.request import RequestSpec, prompt_of_messages, token_count
from pimentoquay.entry.scheduler_link import SchedulerLink, SchedulerLostError
from pimentoquay.entry.service import RequestService

__all__ = [
    "EntryMetrics",
    "RequestOutcome",
    "RequestService",
    "RequestSpec",
    "SchedulerLink",
    "SchedulerLostError",
    "prompt_of_messages",
    "token_count",
]
