"""The scheduler of a pool shard: ledger of grants, queue, leases of entries, rebuild and sweep."""

from pimentoquay.scheduler.ledger import EntryKey, GrantState, Ledger
from pimentoquay.scheduler.part import SchedulerPart
from pimentoquay.scheduler.settings import SchedulerSection
from pimentoquay.scheduler.shard import Outgoing, ShardScheduler

__all__ = [
    "EntryKey",
    "GrantState",
    "Ledger",
    "Outgoing",
    "SchedulerPart",
    "SchedulerSection",
    "ShardScheduler",
]
