"""Reading configuration and engines from the platform's store.

Of the gateways that hear each other, one reads and the others listen to it; a gateway whose list
grows old reads by itself. So the store is asked a few times a second, however many VMs there are,
and a VM that is cut off from its peers or from the reader is not left behind.
"""

import asyncio
import json
from collections.abc import Callable

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.kernel import TimerService
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import EngineRecord, FleetCopy, VmAddress
from pimentoquay.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    ENGINE_TOPIC,
    VM_TOPIC,
    KeyedRecord,
    RecordsGoneError,
    StoreClient,
    StoreError,
)
from pimentoquay.policy.poll_timing import PollTiming

__all__ = ["StoreFeed"]

RETRY_SECONDS = 0.4
"""The wait after a failed call; calls that fail are priced like others."""

CHECK_SECONDS = 0.1
"""How often a listening gateway looks at the age of its list."""


class StoreFeed:
    """Keeps a fleet up to date from the store.

    Parameters
    ----------
    store, fleet, timers
        Where it reads, what it fills, and the process's timers.
    pace
        How often it reads.
    is_reader
        Returns whether this gateway is the one that reads for its peers.
    publish
        Called with every change, to be passed on to the peers.
    on_read
        Called after every read, so that the peers hear of it before their lists grow old.
    """

    def __init__(
        self,
        store: StoreClient,
        fleet: Fleet,
        timers: TimerService,
        pace: PollTiming,
        is_reader: Callable[[], bool],
        publish: Callable[[FleetCopy], None],
        on_read: Callable[[], None],
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._timers = timers
        self._pace = pace
        self._is_reader = is_reader
        self._publish = publish
        self._on_read = on_read
        self._next_by_topic: dict[str, int] = {}
        self._read_by_topic = {
            CONFIGURATION_TOPIC: self._take_configuration,
            ENGINE_TOPIC: self._take_engines,
        }
        self._is_down = False
        self._was_down = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            wanted = self._is_reader() or self._fleet.list_age > self._pace.stale_age
            if wanted or not self._fleet.is_known:
                ok = await self._read_all()
                if ok:
                    self._on_read()
                await self._timers.sleep(self._pace.period if ok else RETRY_SECONDS)
            else:
                await self._timers.sleep(CHECK_SECONDS)
            self._fleet.expire()
            removals = self._fleet.take_removals()
            if wanted and removals:
                self._publish(FleetCopy(-1, b"", removals, -1, ()))

    async def announce(self, vm: str, address: str, data_centre: str) -> None:
        """Write where this VM listens for peers, until the store has taken it."""
        value = json.dumps({"address": address, "data_centre": data_centre}).encode()
        while True:
            try:
                await self._store.put(VM_TOPIC, vm, value)
            except StoreError as error:
                logger.bind(error=str(error)).info("the VM's address is not written yet")
                await self._timers.sleep(1.0)
            else:
                return

    async def vms(self) -> tuple[VmAddress, ...]:
        """Return the addresses that VMs have written; ``StoreError`` if they cannot be read."""
        page = await self._store.newest(VM_TOPIC)
        found = (_read_address(record) for record in page.records if record.value)
        return tuple(each for each in found if each is not None)

    async def _read_all(self) -> bool:
        reads = [self._read(topic) for topic in self._read_by_topic]
        # Both are waited for, so that no read of this round goes on beside the next.
        for error in await asyncio.gather(*reads, return_exceptions=True):
            if error is None:
                continue
            if not isinstance(error, StoreError):
                raise error
            if not self._is_down:
                logger.bind(error=str(error)).warning("the store does not answer")
            self._is_down = self._was_down = True
            return False
        if self._is_down:
            logger.info("the store answers again")
            self._is_down = False
        return True

    async def _read(self, topic: str) -> None:
        take = self._read_by_topic[topic]
        next_offset = self._next_by_topic.get(topic)
        if next_offset is not None:
            try:
                page = await self._store.read(topic, next_offset, 0.0)
            except RecordsGoneError:
                del self._next_by_topic[topic]
                logger.bind(topic=topic, offset=next_offset).info("records are gone; reading all")
            else:
                take(page.records, page.next_offset, False)
                self._next_by_topic[topic] = page.next_offset
                return
        newest = await self._store.newest(topic)
        take(newest.records, newest.next_offset, True)
        self._next_by_topic[topic] = newest.next_offset

    def _take_configuration(
        self, records: tuple[KeyedRecord, ...], next_offset: int, is_whole: bool
    ) -> None:
        for record in records:
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            if self._fleet.take_configuration(record.offset, record.value):
                self._publish(FleetCopy(record.offset, record.value, (), -1, ()))

    def _take_engines(
        self, records: tuple[KeyedRecord, ...], next_offset: int, is_whole: bool
    ) -> None:
        if self._was_down:
            self._was_down = False
            self._fleet.engine_list.start_relisting_grace(self._timers.now())
        engines = tuple(
            EngineRecord(record.key, record.offset, record.value or b"") for record in records
        )
        changed = self._fleet.take_engines(engines)
        if is_whole:
            self._fleet.take_whole_list(engines, next_offset)
        else:
            self._fleet.note_engines_read(next_offset)
        if changed:
            self._publish(FleetCopy(-1, b"", changed, next_offset, ()))


def _read_address(record: KeyedRecord) -> VmAddress | None:
    try:
        item = json.loads(record.value or b"")
        place = str(item["address"]), str(item["data_centre"])
        return VmAddress(record.key, *place, record.offset)
    except (ValueError, TypeError, KeyError) as error:
        logger.bind(peer=record.key, error=repr(error)).warning("unreadable address ignored")
        return None
