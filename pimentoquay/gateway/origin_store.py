"""Versions and origins of streams in the platform's store, for gateways that start after a kill.

Each gateway reads them once when it starts, and again when it has to know where a stream began and
may be out of step with the others. The gateway that polls the store writes for all.
"""

import asyncio
import hashlib
import json
import math
from collections.abc import Awaitable, Callable

from pimentoquay.gateway.stream_origins import OriginExchange
from pimentoquay.kernel import TimerService
from pimentoquay.kernel.input_checks import refuse
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.turn_loops import list_in_turns, pieces_in_turns
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.streams import StreamsBegun
from pimentoquay.platform.fields import DecodeError, optional, parse_json, required
from pimentoquay.platform.store import STREAM_TOPIC, VERSION_TOPIC, StoreClient, StoreError
from pimentoquay.policy.only_versions import StoredVersion
from pimentoquay.policy.store_position import era_of

__all__ = ["OriginStore"]

WRITE_SECONDS = 0.15
"""Interval of the writes; streams that began since the last one may be lost with all gateways."""

RETRY_SECONDS = 0.5
"""Delay after a failed call."""

SPARE_SLOTS = 16
"""Batches that may be written in one turn, for which there are slots beside those of each turn.

All streams that a gateway remembers, its own and those of others, fill half of them.
"""

CLEAN_SECONDS = 1.0
"""Interval at which one record that is no longer needed is removed."""

COLLECT_SECONDS = 0.02
"""Time for which resumptions are collected that need the same read."""

READ_SECONDS = 0.5
"""Time after which a resumption waits no longer for a read, which takes a few milliseconds."""


class OriginStore:
    """Loads what earlier gateways have stored, and stores what is learned.

    Parameters
    ----------
    vm
        VM of this gateway, which is part of the keys of its records.
    store, timers, origins
        The store, the process's timers, and what is known of streams.
    is_writer
        Returns whether this gateway writes.
    read_engines
        Reads the list of engines from the store.
    turns
        Reads many records in turns; a queue of its own if omitted.
    """

    def __init__(
        self,
        vm: str,
        store: StoreClient,
        timers: TimerService,
        origins: OriginExchange,
        is_writer: Callable[[], bool],
        read_engines: Callable[[], Awaitable[None]],
        turns: TurnQueue | None = None,
    ) -> None:
        self._turns = turns if turns is not None else TurnQueue()
        self._vm = vm
        self._store = store
        self._timers = timers
        self._origins = origins
        self._is_writer = is_writer
        self._read_engines = read_engines
        self._read_lock = asyncio.Lock()
        self._next_read: asyncio.Future[bool] | None = None
        self._stored_at_by_key: dict[str, float] = {}
        self._cleaned_at = timers.now()
        store.era.on_raised.append(origins.store_again)

    async def run(self) -> None:
        """Load, then write until cancelled."""
        while not await self._try(self._load):
            await self._timers.sleep(RETRY_SECONDS)
        while True:
            succeeded = await self._try(self._write) if self._is_writer() else True
            await self._timers.sleep(WRITE_SECONDS if succeeded else RETRY_SECONDS)

    async def read_now(self) -> bool:
        """Read the engines, the versions and, during a release, where streams began.

        Return whether that succeeded in time. The read begins after the call; calls that come
        together share one.
        """
        if self._next_read is None:
            self._next_read = asyncio.ensure_future(self._read_in_turn())
        try:
            async with asyncio.timeout(READ_SECONDS):
                return await asyncio.shield(self._next_read)
        except TimeoutError:
            return False

    async def _read_in_turn(self) -> bool:
        async with self._read_lock:
            await self._timers.sleep(COLLECT_SECONDS)
            self._next_read = None
            return await self._try(self._catch_up)

    async def _try(self, work: Callable) -> bool:  # type: ignore[type-arg]
        try:
            await work()
        except StoreError as error:
            logger.bind(error=str(error)).info("failed to load or store the origins of streams")
            return False
        return True

    async def _load(self) -> None:
        versions, era = await self._read_versions()
        batches = await self._read_batches()
        self._check_era(era)
        self._origins.load(versions, batches, era)

    async def _catch_up(self) -> None:
        await self._read_engines()
        versions, era = await self._read_versions()
        self._check_era(era)
        self._origins.load(versions, (), era)
        if self._origins.mixed_services:
            self._origins.load((), await self._read_batches(), self._store.era.value)

    def _check_era(self, era: int) -> None:
        """Raise ``StoreError`` if the store, restored since an era, may lack what it held then."""
        if era != self._store.era.value:
            raise StoreError(f"the store was restored, era {self._store.era.value}")

    async def _read_versions(self) -> tuple[list[StoredVersion], int]:
        """Return the versions in the store, and the era in which they were read."""
        page = await self._store.read_latest(VERSION_TOPIC)
        stored = (_parse_version(each.key, each.value) for each in page.records if each.value)
        found = await list_in_turns(stored, self._turns)
        return [each for each in found if each is not None], era_of(page.next_position)

    async def _read_batches(self) -> list[StreamsBegun]:
        # Full batches in all slots, of several writers in turn, may be more than can be held.
        page = await self._store.read_latest(STREAM_TOPIC, drops_oldest=True)
        now = self._timers.now()
        batches: list[StreamsBegun | None] = []
        async for piece in pieces_in_turns(page.records, self._turns):
            for record in piece:
                if record.value is not None:
                    self._stored_at_by_key.setdefault(record.key, now)
                    batches.append(_parse_batch(record.key, record.value))
        return [each for each in batches if each is not None]

    async def _write(self) -> None:
        origins = self._origins
        slots = math.ceil(origins.life_seconds / WRITE_SECONDS) + SPARE_SLOTS
        for _ in range(SPARE_SLOTS):
            batch = origins.batches.next_batch(slots)
            if batch is None:
                break
            key = f"{self._vm} {batch.slot}"
            await self._store.put(STREAM_TOPIC, key, encode(origins.message_of(batch)))
            origins.batches.confirm(batch)
            self._stored_at_by_key[key] = self._timers.now()
            if not batch.is_full:
                break
        # New streams begin at a version once it is recorded, so the origins of the others go first.
        for due in origins.versions_due():
            era = self._store.era.value
            version = StoredVersion(due.service, due.software, era if due.is_only else 0)
            key = _version_key((due.service, due.software))
            await self._store.put(VERSION_TOPIC, key, _version_value(version))
            self._check_era(era)
            origins.record_stored(due)
        if self._timers.now() - self._cleaned_at >= CLEAN_SECONDS:
            self._cleaned_at = self._timers.now()
            await self._clean()

    async def _clean(self) -> None:
        """Remove one record that is no longer needed."""
        origins, now = self._origins, self._timers.now()
        for version in origins.recorded.outdated(origins.served_versions()):
            await self._store.put(VERSION_TOPIC, _version_key(version), b"")
            origins.recorded.remove(version)
            return
        for key, at in self._stored_at_by_key.items():
            if now - at > origins.life_seconds:
                await self._store.put(STREAM_TOPIC, key, b"")
                del self._stored_at_by_key[key]
                return


def _version_key(version: tuple[str, str]) -> str:
    return hashlib.blake2b("\n".join(version).encode(), digest_size=16).hexdigest()


def _version_value(version: StoredVersion) -> bytes:
    value = {"service": version.service, "version": version.software}
    if version.only_in_era:
        return json.dumps({**value, "only_in_era": version.only_in_era}).encode()
    return json.dumps(value).encode()


def _parse_version(key: str, value: bytes) -> StoredVersion | None:
    try:
        item = parse_json(value, "version")
        service, software = required(item, "service", str), required(item, "version", str)
        return StoredVersion(service, software, optional(item, "only_in_era", int, 0))
    except DecodeError as error:
        refuse("version", key, error)
        return None


def _parse_batch(key: str, value: bytes) -> StreamsBegun | None:
    try:
        message = decode(value)
    except CodecError as error:
        refuse("origins of streams", key, error)
        return None
    if isinstance(message, StreamsBegun):
        return message
    refuse("origins of streams", key, f"a {type(message).__name__}")
    return None
