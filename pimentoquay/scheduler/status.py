"""Operator-facing state of the schedulers: time line entries, queues and open circuits."""

from collections.abc import Mapping
from typing import Any

from pimentoquay.kernel import TimeLine
from pimentoquay.kernel.status import PartStatus, StatusItem
from pimentoquay.messages.placement import Grant, Refusal
from pimentoquay.policy import CircuitState
from pimentoquay.scheduler.shard import ShardScheduler

__all__ = ["record_answer", "scheduler_status"]


def record_answer(timeline: TimeLine, message: Any, shard: str) -> None:
    """Record a grant or a refusal on the time line; ignore other messages."""
    if isinstance(message, Grant):
        engines = f"{message.prefill_engine}, {message.decode_engine}"
        timeline.record("granted", message.request_id, detail=f"{shard}: {engines}")
    elif isinstance(message, Refusal):
        detail = f"{shard}: {int(message.code)} {message.detail}"
        timeline.record("refused", message.request_id, detail=detail)


def scheduler_status(scheduler_by_shard: Mapping[str, ShardScheduler], now: float) -> PartStatus:
    """Return the queue and the open circuits of every shard that this VM schedules."""
    items = [
        item
        for name, scheduler in scheduler_by_shard.items()
        for item in _shard_items(name, scheduler, now)
    ]
    return PartStatus("scheduler", tuple(items))


def _shard_items(name: str, scheduler: ShardScheduler, now: float) -> list[StatusItem]:
    items = []
    if scheduler.waiting:
        queued = len(scheduler.waiting)
        detail = f"{queued} requests queue, {scheduler.queue_seconds(now):.1f} s to a free slot"
        items.append(StatusItem(name, "waiting", detail))
    for key in scheduler.circuits.open_keys():
        state = scheduler.circuits.state(key, now)
        if state is not CircuitState.CLOSED:
            wait = max(0.0, scheduler.circuits.retry_in(key, now))
            detail = f"circuit open, {state.value}; one probe goes in {wait:.1f} s"
            items.append(StatusItem(f"{name} {key}", "waiting", detail))
    return items
