"""Scheduler of a pool shard.

A shard is a group of engines of one model. Its scheduler queues requests, grants them engines and
keeps the ledger of grants. It also ends the leases of lost entry processes, rebuilds the ledger
after a change of owner and frees what engines hold without a grant.
"""

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
