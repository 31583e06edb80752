"""Read the configuration and the list of engines from the platform's store.

Among gateways that are connected to each other, one polls the store and sends changes to the
others. A gateway whose list becomes too old polls by itself. The store thus receives a few calls a
second however many VMs there are, and a VM that is cut off from its peers or from the polling
gateway still gets current data.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.request_guard import RequestGuard
from pimentoquay.kernel import TimerService
from pimentoquay.kernel.input_checks import refuse
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.turn_loops import list_in_turns, pieces_in_turns
from pimentoquay.kernel.turns import ITEMS_PER_TURN, TurnQueue
from pimentoquay.messages.fleet import EngineRecord, FleetCopy, VmAddress
from pimentoquay.platform.fields import DecodeError, optional, parse_json, required
from pimentoquay.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    ENGINE_TOPIC,
    PROMPT_TOPIC,
    VM_TOPIC,
    KeyedRecord,
    RecordPage,
    RecordsGoneError,
    StoreClient,
    StoreError,
)
from pimentoquay.policy.poll_timing import PollTiming
from pimentoquay.policy.store_position import era_of

__all__ = ["StoreFeed", "VmListing"]

RETRY_DELAY_SECONDS = 0.4
"""Delay after a failed call, which costs as much at the store as a successful one."""

MAX_PAGES_PER_POLL = 64
"""Maximum number of pages of 1 MB that are read of a topic in one poll."""

RECORDS_PER_TURN = 8 * ITEMS_PER_TURN
"""Number of records of engines that are applied at once. Decoding one takes up to 0.1 ms, and the
list is made again after each piece with changes."""

CHECK_INTERVAL_SECONDS = 0.1
"""Interval at which a gateway that does not poll checks the age of its list."""


@dataclass(frozen=True)
class VmListing:
    """Addresses of all VMs in the store, and the position that the next record gets."""

    addresses: tuple[VmAddress, ...]
    next_position: int


class StoreFeed:
    """Keeps a fleet and its quarantines up to date by polling the store.

    Parameters
    ----------
    store, fleet, guard, timers
        The store to read, the fleet and the quarantines to update, and the process's timers.
    polling_schedule
        The polling period, and the age of the list above which this gateway polls by itself.
    is_reader
        Returns whether this gateway polls the store for its peers.
    publish
        Called with every change, to send it to the peers.
    on_read
        Called after every successful read, so that peers learn of it before their lists become
        too old.
    turns
        Applies long pages in turns; a queue of its own if omitted.
    """

    def __init__(
        self,
        store: StoreClient,
        fleet: Fleet,
        guard: RequestGuard,
        timers: TimerService,
        polling_schedule: PollTiming,
        is_reader: Callable[[], bool],
        publish: Callable[[FleetCopy], None],
        on_read: Callable[[], None],
        turns: TurnQueue | None = None,
    ) -> None:
        self._turns = turns if turns is not None else TurnQueue()
        self._store = store
        self._fleet = fleet
        self._guard = guard
        self._timers = timers
        self._polling_schedule = polling_schedule
        self._is_reader = is_reader
        self._publish = publish
        self._on_read = on_read
        self._next_by_topic: dict[str, int] = {}
        self._handler_by_topic = {
            CONFIGURATION_TOPIC: self._apply_configuration,
            ENGINE_TOPIC: self._apply_engines,
            PROMPT_TOPIC: self._apply_quarantines,
        }
        self._is_down = False
        self._was_restored = False
        store.era.on_raised.append(self._handle_restored)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            should_read = (
                self._is_reader() or self._fleet.list_age > self._polling_schedule.stale_age
            )
            if should_read or not self._fleet.is_loaded:
                succeeded = await self._read_all()
                if succeeded:
                    self._on_read()
                    self._publish_removals(has_read=True)
                    await self._write_quarantines()
                await self._timers.sleep(
                    self._polling_schedule.period if succeeded else RETRY_DELAY_SECONDS
                )
            else:
                await self._timers.sleep(CHECK_INTERVAL_SECONDS)
            self._publish_removals(has_read=should_read)

    def _publish_removals(self, has_read: bool) -> None:
        """Tell the peers of engines that a read has shown to be gone, or whose removal is due.

        A removal that was postponed here is told by any gateway, as those that were connected
        meanwhile have the engine from its copy.
        """
        has_expired = self._fleet.apply_due_removals()
        removals = self._fleet.pop_removals()
        if removals and (has_read or has_expired):
            self._publish(FleetCopy(-1, b"", removals, -1, ()))

    async def read_engines(self) -> None:
        """Read the whole list of engines now; raise ``StoreError`` on failure.

        The position of the last own read may be long ago, as another gateway polls for its peers.
        """
        await self._read_latest(ENGINE_TOPIC)
        self._on_read()

    def _handle_restored(self) -> None:
        """Read everything again after the store was restored from an older copy."""
        era = self._store.era.value
        logger.bind(era=era).warning("the store was restored from an older copy")
        self._next_by_topic.clear()
        self._fleet.engine_list.start_relisting_grace(self._timers.now())
        self._was_restored = True

    async def announce(self, own: VmAddress) -> None:
        """Write this VM's addresses for peers to the store; retry until that succeeds."""
        while True:
            try:
                await self.write_vm(own)
            except StoreError as error:
                logger.bind(error=str(error)).info("failed to write the VM's address; will retry")
                await self._timers.sleep(1.0)
            else:
                return

    async def write_vm(self, each: VmAddress) -> None:
        """Write a VM's addresses for peers to the store; raise ``StoreError`` on failure."""
        item = {
            "address": each.address,
            "data_centre": each.data_centre,
            "tunnel_address": each.tunnel_address,
        }
        await self._store.put(VM_TOPIC, each.vm, json.dumps(item).encode())

    async def read_vm_addresses(self) -> VmListing:
        """Return the addresses that VMs have written; raise ``StoreError`` on failure."""
        page = await self._store.read_latest(VM_TOPIC)
        found = (_parse_vm_address(record) for record in page.records if record.value)
        parsed = await list_in_turns(found, self._turns)
        addresses = tuple(each for each in parsed if each is not None)
        return VmListing(addresses, page.next_position)

    async def remove_vm(self, vm: str, position: int) -> int | None:
        """Remove a VM's record if the removal gets this position, see ``StoreClient.put_at``."""
        return await self._store.put_at(VM_TOPIC, position, vm, b"")

    async def _read_all(self) -> bool:
        reads = [self._read(topic) for topic in self._handler_by_topic]
        # Wait for both, so that no read of this round overlaps with the next round.
        for error in await asyncio.gather(*reads, return_exceptions=True):
            if error is None:
                continue
            if not isinstance(error, StoreError):
                raise error
            if not self._is_down:
                logger.bind(error=str(error)).warning("the store does not answer")
            self._is_down = True
            return False
        if self._is_down:
            logger.info("the store answers again")
            self._is_down = False
        return True

    async def _read(self, topic: str) -> None:
        try:
            await self._read_new(topic)
        except StoreError:
            if topic == ENGINE_TOPIC:
                self._fleet.record_read_failure()
            raise

    async def _read_new(self, topic: str) -> None:
        next_position = self._next_by_topic.get(topic)
        if next_position is not None:
            try:
                await self._read_on(topic, next_position)
                return
            except RecordsGoneError:
                self._next_by_topic.pop(topic, None)
                logger.bind(topic=topic, position=next_position).info(
                    "records were deleted; reading the latest of each key"
                )
        await self._read_latest(topic)

    async def _read_latest(self, topic: str) -> None:
        latest = await self._store.read_latest(topic)
        await self._apply(topic, latest, True)
        self._next_by_topic[topic] = latest.next_position

    async def _read_on(self, topic: str, position: int) -> None:
        """Read page after page up to where the topic ended when the first one was read.

        After some pages the next poll goes on, as a faulty store may send them without end.
        """
        end_position: int | None = None
        for _ in range(MAX_PAGES_PER_POLL):
            page = await self._store.read(topic, position, 0.0)
            await self._apply(topic, page, False)
            if page.next_position == position:
                return
            if end_position is None:
                end_position = page.end_position
            position = self._next_by_topic[topic] = page.next_position
            if position >= end_position:
                return

    async def _apply(self, topic: str, page: RecordPage, is_snapshot: bool) -> None:
        """Apply a page; raise ``RecordsGoneError`` if the store was restored meanwhile."""
        if topic == ENGINE_TOPIC:
            is_last = page.next_position >= page.end_position
            self._fleet.record_store_answer(page.next_position if is_last else None)
        await self._handler_by_topic[topic](page.records, page.next_position, is_snapshot)
        if not self._is_current(page.next_position):
            raise RecordsGoneError("the store was restored while a page was applied")

    def _is_current(self, position: int) -> bool:
        """Whether a position is of the store's present era, which may rise between two pieces."""
        return era_of(position) == self._store.era.value

    async def _write_quarantines(self) -> None:
        for key, value in self._guard.pending_records():
            try:
                await self._store.put(PROMPT_TOPIC, key, value)
            except StoreError as error:
                logger.bind(key=key, error=str(error)).info(
                    "failed to write a quarantine; will retry"
                )
                return

    async def _apply_quarantines(
        self, records: tuple[KeyedRecord, ...], next_position: int, is_snapshot: bool
    ) -> None:
        async for piece in pieces_in_turns(records, self._turns):
            if not self._is_current(next_position):
                return
            self._guard.apply_records(piece, is_snapshot)
            is_snapshot = False

    async def _apply_configuration(
        self, records: tuple[KeyedRecord, ...], next_position: int, is_snapshot: bool
    ) -> None:
        for record in records:
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            if self._fleet.apply_configuration(record.position, record.value):
                self._publish(FleetCopy(record.position, record.value, (), -1, ()))

    async def _apply_engines(
        self, records: tuple[KeyedRecord, ...], next_position: int, is_snapshot: bool
    ) -> None:
        engines = tuple(
            EngineRecord(record.key, record.position, record.value or b"") for record in records
        )
        had_list = self._fleet.has_engine_list
        changed: tuple[EngineRecord, ...] = ()
        async for piece in pieces_in_turns(engines, self._turns, RECORDS_PER_TURN):
            if not self._is_current(next_position):
                break
            changed += self._fleet.apply_engine_records(piece)
        if not self._is_current(next_position):
            # The next snapshot does not show what this page has changed already.
            if changed:
                self._publish(FleetCopy(-1, b"", changed, -1, ()))
            return
        was_restored, self._was_restored = self._was_restored, False
        if is_snapshot:
            self._fleet.apply_engine_snapshot(engines, next_position)
        else:
            self._fleet.record_list_read(next_position)
        if not had_list:
            # Peers may lack what this gateway has got from others that have not sent all yet.
            self._publish(self._fleet.snapshot())
        elif changed or was_restored:
            # A position would tell a peer that is still being sent the list that it is complete.
            era_position = next_position if was_restored else -1
            self._publish(FleetCopy(-1, b"", changed, era_position, ()))


def _parse_vm_address(record: KeyedRecord) -> VmAddress | None:
    try:
        item = parse_json(record.value or b"", "address")
        location = required(item, "address", str), required(item, "data_centre", str)
        tunnel_address = optional(item, "tunnel_address", str, "")
        return VmAddress(record.key, *location, record.position, tunnel_address)
    except DecodeError as error:
        refuse("address of a VM", record.key, error)
        return None
