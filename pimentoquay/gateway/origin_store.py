"""Versions and origins of streams in the platform's store, for gateways that start after a kill.

Each gateway reads them once when it starts. The gateway that polls the store writes for all.
"""

import hashlib
import json
import math
from collections.abc import Callable

from pimentoquay.gateway.stream_origins import OriginExchange
from pimentoquay.kernel import TimerService
from pimentoquay.kernel.logs import logger
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.streams import StreamsBegun
from pimentoquay.platform.store import STREAM_TOPIC, VERSION_TOPIC, StoreClient, StoreError

__all__ = ["OriginStore"]

WRITE_SECONDS = 0.15
"""Interval of the writes; streams that began since the last one may be lost with all gateways."""

RETRY_SECONDS = 0.5
"""Delay after a failed call."""

CLEAN_SECONDS = 1.0
"""Interval at which one record that is no longer needed is removed."""


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
    """

    def __init__(
        self,
        vm: str,
        store: StoreClient,
        timers: TimerService,
        origins: OriginExchange,
        is_writer: Callable[[], bool],
    ) -> None:
        self._vm = vm
        self._store = store
        self._timers = timers
        self._origins = origins
        self._is_writer = is_writer
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

    async def _try(self, work: Callable) -> bool:  # type: ignore[type-arg]
        try:
            await work()
        except StoreError as error:
            logger.bind(error=str(error)).info("failed to load or store the origins of streams")
            return False
        return True

    async def _load(self) -> None:
        versions = await self._store.read_latest(VERSION_TOPIC)
        streams = await self._store.read_latest(STREAM_TOPIC)
        now = self._timers.now()
        found = [_parse_version(each.value) for each in versions.records if each.value]
        batches = []
        for record in streams.records:
            if record.value is not None:
                self._stored_at_by_key[record.key] = now
                batches.append(_parse_batch(record.key, record.value))
        self._origins.load(
            [each for each in found if each is not None],
            [each for each in batches if each is not None],
        )

    async def _write(self) -> None:
        origins = self._origins
        for version in origins.recorded.missing(origins.served_versions()):
            await self._store.put(VERSION_TOPIC, _version_key(version), _version_value(version))
            origins.record_stored(version)
        slots = math.ceil(origins.life_seconds / WRITE_SECONDS) + 1
        batch = origins.batches.next_batch(slots)
        if batch is not None:
            key = f"{self._vm} {batch.slot}"
            await self._store.put(STREAM_TOPIC, key, encode(origins.message_of(batch)))
            origins.batches.confirm(batch)
            self._stored_at_by_key[key] = self._timers.now()
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


def _version_value(version: tuple[str, str]) -> bytes:
    return json.dumps({"service": version[0], "version": version[1]}).encode()


def _parse_version(value: bytes) -> tuple[str, str] | None:
    try:
        item = json.loads(value)
        return str(item["service"]), str(item["version"])
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        logger.bind(error=repr(error)).warning("invalid version ignored")
        return None


def _parse_batch(key: str, value: bytes) -> StreamsBegun | None:
    try:
        message = decode(value)
    except CodecError as error:
        logger.bind(key=key, error=str(error)).warning("invalid origins of streams ignored")
        return None
    return message if isinstance(message, StreamsBegun) else None
