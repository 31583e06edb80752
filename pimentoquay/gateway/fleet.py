"""What a gateway knows of configuration and engines, wherever it heard it."""

from collections.abc import Callable

from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import EngineRecord, FleetCopy
from pimentoquay.platform.configuration import decode_configuration
from pimentoquay.platform.engine_entry import decode_engine_entry
from pimentoquay.platform.fields import DecodeError
from pimentoquay.policy.engine_list import EngineList, EngineUpdate
from pimentoquay.policy.fleet import EngineEntry, FleetConfiguration
from pimentoquay.policy.route_choice import RouteTable

__all__ = ["Fleet"]


class Fleet:
    """Configuration and engines in force at this VM.

    The configuration never goes back to an older version, and the records that came are kept as
    bytes so that peers get them as they lie in the store.

    Parameters
    ----------
    now
        Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self.table: RouteTable | None = None
        self.engine_list = EngineList()
        self.has_engines = False
        self.on_engines_changed: list[Callable[[], None]] = []
        self._configuration_offset = -1
        self._document = b""
        self._record_by_engine: dict[str, EngineRecord] = {}
        self._engines_offset = 0
        self._read_at = float("-inf")
        self._peers_read_at = float("-inf")
        self._engines: tuple[EngineEntry, ...] = ()
        self._removed: list[str] = []

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The configuration in force, or ``None`` before the first."""
        return self.table.configuration if self.table is not None else None

    @property
    def is_known(self) -> bool:
        """Whether both configuration and engines have been received."""
        return self.table is not None and self.has_engines

    @property
    def list_age(self) -> float:
        """Seconds since anybody is known to have read the store's list of engines."""
        return self._now() - max(self._read_at, self._peers_read_at)

    @property
    def own_list_age(self) -> float:
        """Seconds since this VM itself has read the list.

        Only this is told to peers: an age that is passed from one to the next loses the time of
        each way, and a list that nobody reads would stay young.
        """
        return self._now() - self._read_at

    def confirm(self, age: float) -> None:
        """Note that a peer has read the list ``age`` seconds ago."""
        self._peers_read_at = max(self._peers_read_at, self._now() - age)

    def engines(self) -> tuple[EngineEntry, ...]:
        """Return the engines that are listed."""
        return self._engines

    def engines_of(self, service: str) -> tuple[EngineEntry, ...]:
        """Return the engines of a service that take new work."""
        return tuple(
            engine
            for engine in self._engines
            if engine.service == service and not engine.is_draining
        )

    def take_configuration(self, offset: int, document: bytes) -> bool:
        """Put a configuration in force unless it is older; return whether it was newer."""
        if offset <= self._configuration_offset:
            return False
        try:
            configuration = decode_configuration(document)
        except DecodeError as error:
            logger.bind(offset=offset, error=str(error)).warning("unreadable configuration ignored")
            return False
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration_offset, self._document = offset, document
        self.table = RouteTable(configuration)
        logger.bind(
            version=configuration.version, offset=offset, routes=len(configuration.routes)
        ).info("configuration in force")
        return True

    def take_engines(self, records: tuple[EngineRecord, ...]) -> tuple[EngineRecord, ...]:
        """Take engines' records; return those that changed more than a heartbeat."""
        changed = []
        for record in records:
            update = _update_of(record)
            if self.engine_list.apply((update,), self._now()):
                changed.append(record)
            known = self._record_by_engine.get(record.engine)
            if known is None or known.offset < record.offset:
                self._record_by_engine[record.engine] = record
        if changed:
            self._refresh()
        return tuple(changed)

    def take_whole_list(self, records: tuple[EngineRecord, ...], next_offset: int) -> None:
        """Take the whole list of engines, which ends before ``next_offset``."""
        self.take_engines(records)
        names = [record.engine for record in records]
        if self.engine_list.remove_unlisted(names, next_offset, self._now()):
            self._refresh()
        self.note_engines_read(next_offset)

    def note_engines_read(self, next_offset: int) -> None:
        """Note that the list was read from the store up to an offset."""
        self._engines_offset = max(self._engines_offset, next_offset)
        self.has_engines = True
        self._read_at = self._now()

    def expire(self) -> None:
        """Carry out removals that waited for the list to settle after an outage."""
        if self.engine_list.expire(self._now()):
            self._refresh()

    def take_removals(self) -> tuple[EngineRecord, ...]:
        """Return the removals since the last call as records for the peers.

        Where an engine is missing from a whole list there is no record of its removal to pass on.
        """
        removed, self._removed = self._removed, []
        return tuple(EngineRecord(each, self._engines_offset - 1, b"") for each in removed)

    def copy(self) -> FleetCopy:
        """Return all that a peer needs to serve."""
        return FleetCopy(
            self._configuration_offset,
            self._document,
            tuple(self._record_by_engine.values()),
            self._engines_offset if self.has_engines else -1,
            (),
        )

    def _refresh(self) -> None:
        before = {engine.id: engine for engine in self._engines}
        self._engines = self.engine_list.engines()
        after = {engine.id: engine for engine in self._engines}
        for engine_id in before.keys() | after.keys():
            old, new = before.get(engine_id), after.get(engine_id)
            if old is None or new is None or old.is_draining != new.is_draining:
                state = "gone" if new is None else "draining" if new.is_draining else "ready"
                entry = new or old
                stage = entry.stage.value if entry is not None else ""
                logger.bind(engine=engine_id, state=state, stage=stage).info("engine list changed")
            if new is None:
                self._removed.append(engine_id)
        for call in self.on_engines_changed:
            call()


def _update_of(record: EngineRecord) -> EngineUpdate:
    if not record.value:
        return EngineUpdate(record.engine, record.offset, None, is_removed=True)
    try:
        entry = decode_engine_entry(record.engine, record.value)
    except DecodeError as error:
        logger.bind(engine=record.engine, error=str(error)).info("unreadable engine entry")
        return EngineUpdate(record.engine, record.offset, None)
    return EngineUpdate(record.engine, record.offset, entry)
