"""Configuration and list of engines of a gateway, received from the store or from peers."""

import time
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from pimentoquay.gateway.configuration_update import ConfigurationUpdate
from pimentoquay.kernel.input_checks import refuse, refused_by_kind
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import EngineRecord, FleetCopy
from pimentoquay.messages.pools import PoolKey
from pimentoquay.platform.configuration import ConfigurationDecoder
from pimentoquay.platform.engine_entry import decode_engine_entry
from pimentoquay.platform.fields import DecodeError
from pimentoquay.policy.engine_list import EngineList, EngineUpdate, starts_later
from pimentoquay.policy.engine_notices import EngineNotices
from pimentoquay.policy.engine_recheck import takes_work
from pimentoquay.policy.fleet import EngineEntry, FleetConfiguration
from pimentoquay.policy.pools import pools_of
from pimentoquay.policy.route_choice import RouteTable
from pimentoquay.policy.store_outage import StoreOutage
from pimentoquay.policy.store_position import era_of
from pimentoquay.policy.workspaces import WorkspaceTable
from pimentoquay.tunnels import TunnelTarget

__all__ = ["Fleet", "target_of"]


MAX_INVALID_LOGGED = 50
"""Most parts of a configuration that are logged as ignored; all are counted. A line takes 0.1 ms,
and all 8,500 workspaces may be invalid."""

UNSTATED_LONGEST_AGE_SECONDS = 2.0
"""Age of the list above which no gateway reads the store, if none is given."""


class Fleet:
    """Configuration and engines that this gateway currently uses.

    ``target_by_id`` holds all listed engines as targets of connections.

    The configuration is never replaced by an older version. Records are also kept as the bytes
    read from the store, because peers receive them unchanged.

    Parameters
    ----------
    now
        Returns the monotonic time in seconds.
    wall
        Returns the seconds since the Unix epoch.
    longest_age
        Age that the list has only if no gateway can read the store, in seconds.
    """

    def __init__(
        self,
        now: Callable[[], float],
        wall: Callable[[], float] = time.time,
        longest_age: float = UNSTATED_LONGEST_AGE_SECONDS,
    ) -> None:
        self._now = now
        self._wall = wall
        self._outage = StoreOutage(longest_age)
        self.route_table: RouteTable | None = None
        self.engine_list = EngineList()
        self.notices = EngineNotices()
        self.has_engine_list = False
        self.on_engines_changed: list[Callable[[], None]] = []
        self._configuration_position = -1
        self._newest_version: int | None = None
        self._update: ConfigurationUpdate | None = None
        self._document = b""
        self._record_by_engine: dict[str, EngineRecord] = {}
        self._engines_position = 0
        self._read_at = float("-inf")
        self._peers_read_at = float("-inf")
        self._engines: tuple[EngineEntry, ...] = ()
        self._entry_by_id: dict[str, EngineEntry] = {}
        self._pools_by_service: dict[str, Mapping[PoolKey, tuple[EngineEntry, ...]]] = {}
        self.target_by_id: Mapping[str, TunnelTarget] = {}
        self._removed: list[str] = []
        self.on_configuration: list[Callable[[FleetConfiguration], None]] = []

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The current configuration, or ``None`` before the first is received."""
        return self.route_table.configuration if self.route_table is not None else None

    @property
    def is_loaded(self) -> bool:
        """Whether both a configuration and a list of engines have been received."""
        return self.route_table is not None and self.has_engine_list

    @property
    def list_age(self) -> float:
        """Seconds since this gateway or a peer last read the list of engines from the store."""
        return self._now() - max(self._read_at, self._peers_read_at)

    @property
    def own_list_age(self) -> float:
        """Seconds since this gateway itself last read the list from the store.

        Peers are sent this value and not ``list_age``: an age that is forwarded omits the time in
        transit, so a list that no gateway reads any more would seem fresh for ever.
        """
        return self._now() - self._read_at

    def record_peer_read(self, age: float) -> None:
        """Record that a peer read the list from the store ``age`` seconds ago."""
        read_at = self._now() - age
        self._peers_read_at = max(self._peers_read_at, read_at)
        if self._outage.record_read(read_at):
            self.engine_list.start_relisting_grace(read_at)

    def record_read_failure(self) -> None:
        """Record that this gateway failed to read the list from the store."""
        self._outage.record_failure(self._now())

    def record_store_answer(self, page_end: int | None) -> None:
        """Record that the store has answered, before its answer is applied.

        ``page_end`` is the position where the list ended, or None if the answer does not reach it.
        """
        now = self._now()
        if self._outage.record_read(now):
            self.engine_list.start_relisting_grace(now, page_end)

    def engines(self) -> tuple[EngineEntry, ...]:
        """Return all listed engines, including those that are draining."""
        return self._engines

    def is_accepting(self, engine: EngineEntry) -> bool:
        """Return whether an engine that was chosen earlier still accepts new work.

        One that has started anew since is another engine.
        """
        return takes_work(engine, self._entry_by_id.get(engine.id), self.notices)

    def accepting_engines(self, service: str) -> tuple[EngineEntry, ...]:
        """Return the engines of a service that accept new work."""
        return tuple(
            engine
            for engine in self._engines
            if engine.service == service
            and not engine.is_draining
            and not self.notices.is_leaving(engine.start)
        )

    def pools(self, service: str) -> Mapping[PoolKey, tuple[EngineEntry, ...]]:
        """Return the pools of a service with their engines, including those that are draining.

        All gateways have to form pools from the same engines, as the pools depend on their number.
        They are kept until the engines change: to form them takes 7.7 ms for 2,800 engines.
        """
        pools = self._pools_by_service.get(service)
        if pools is None:
            formed = pools_of(engine for engine in self._engines if engine.service == service)
            pools = MappingProxyType(formed)
            if formed:
                self._pools_by_service[service] = pools
        return pools

    def apply_configuration(self, position: int, document: bytes) -> bool:
        """Apply a configuration; return whether it is valid and newer than the current one.

        One with many workspaces is in force only some passes of the event loop later.
        """
        known_position = self._configuration_position
        if position <= known_position and era_of(position) == era_of(known_position):
            return False
        try:
            decoder = ConfigurationDecoder(document)
        except DecodeError as error:
            refuse("configuration", position, error)
            return False
        if self._newest_version is not None and decoder.version <= self._newest_version:
            return False
        self._newest_version = decoder.version
        self._configuration_position, self._document = position, document
        if self._update is not None:
            self._update.cancel()
        self._update = ConfigurationUpdate(decoder, self._put_in_force)
        self._update.run()
        return True

    def _put_in_force(self, configuration: FleetConfiguration) -> None:
        self._update = None
        self.route_table = RouteTable(configuration)
        for listener in self.on_configuration:
            listener(configuration)
        services = configuration.service_by_name.keys()
        applied = self.engine_list.update_services(services, self._now())
        records = [each.source for each in applied if isinstance(each.source, EngineRecord)]
        self._record_by_engine.update({each.engine: each for each in records})
        if applied:
            self._refresh_engines()
        logger.bind(
            version=configuration.version,
            position=self._configuration_position,
            routes=len(configuration.routes),
        ).info("configuration in force")
        if configuration.workspaces is not None:
            _log_workspaces(configuration.workspaces)

    def apply_engine_records(
        self, records: tuple[EngineRecord, ...], from_peer: bool = False
    ) -> tuple[EngineRecord, ...]:
        """Apply records of engines; return those that changed more than a heartbeat's number.

        ``from_peer`` is whether a peer has sent them, which has taken them over itself. All its
        removals that are new here are returned then, as others may list what this list doesn't.
        """
        changed: list[EngineRecord] = []
        unlisted: list[EngineRecord] = []
        for record in records:
            if self.engine_list.is_known(record.engine, record.position):
                continue
            update = self._to_update(record, from_peer)
            if self.engine_list.apply((update,), self._now()):
                changed += (*self._confirming(record.engine), record)
                # Outdated records are not kept for peers, whatever their position.
                self._record_by_engine[record.engine] = record
            elif update.is_removed and self.engine_list.is_known(record.engine, record.position):
                unlisted.append(record)
            elif update.starts_later and not self.engine_list.holds(record.engine, record.position):
                refuse("engine entry", record.engine, "the start is in the future")
        if changed:
            self._refresh_engines()
        # Peers behind this one may list an engine that is unknown here, or kept for a while.
        return (*changed, *unlisted) if from_peer else tuple(changed)

    def removals_since(self, records: Iterable[EngineRecord]) -> tuple[EngineRecord, ...]:
        """Return the removals that a peer lacks, as its records of these engines are older."""
        now = self._now()
        found = (
            (each.engine, self.engine_list.removal_since(each.engine, each.position, now))
            for each in records
            if each.value
        )
        return tuple(EngineRecord(engine, at, b"") for engine, at in found if at is not None)

    def apply_engine_snapshot(self, records: tuple[EngineRecord, ...], next_position: int) -> None:
        """Apply a complete list of engines that holds all records before ``next_position``."""
        self.apply_engine_records(records)
        names = [record.engine for record in records]
        if self.engine_list.remove_unlisted(names, next_position, self._now()):
            self._refresh_engines()
        self.record_list_read(next_position)

    def record_list_read(self, next_position: int) -> None:
        """Record that the list was read from the store up to ``next_position``."""
        self._engines_position = max(self._engines_position, next_position)
        self.engine_list.keys.read_on(next_position)
        self.has_engine_list = True
        self._read_at = self._now()

    def apply_due_removals(self) -> bool:
        """Apply the removals that were postponed after an outage of the store and are now due.

        Return whether there were any.
        """
        has_expired = self.engine_list.expire(self._now(), self._read_at)
        if has_expired:
            self._refresh_engines()
        return has_expired

    def pop_removals(self) -> tuple[EngineRecord, ...]:
        """Return the removals since the last call as records for the peers.

        An engine that is missing from a complete list has no removal record in the store, so one
        is made here. One that is listed again by now has none.
        """
        removed, self._removed = self._removed, []
        keys = self.engine_list.keys
        records = [
            EngineRecord(each, (keys.removed_before(each) or self._engines_position) - 1, b"")
            for each in removed
            if each not in self._entry_by_id
        ]
        self._record_by_engine.update({each.engine: each for each in records})
        return tuple(records)

    def pause_seconds(self, engine: EngineEntry) -> float:
        """Return the seconds until an engine that requested a pause accepts requests again."""
        return self.notices.pause_seconds(engine.start, self._now())

    def snapshot(self) -> FleetCopy:
        """Return a message with everything that a peer needs to serve requests."""
        return FleetCopy(
            self._configuration_position,
            self._document,
            tuple(
                each
                for engine, record in self._record_by_engine.items()
                for each in (*self._confirming(engine), record)
            ),
            self._engines_position if self.has_engine_list else -1,
            (),
        )

    def _confirming(self, engine: str) -> tuple[EngineRecord, ...]:
        """Return the record that peers need, before the newest of an engine, to take that over."""
        source = self.engine_list.confirming(engine)
        return (source,) if isinstance(source, EngineRecord) else ()

    def _to_update(self, record: EngineRecord, from_peer: bool) -> EngineUpdate:
        if not record.value:
            return EngineUpdate(
                record.engine, record.position, None, is_removed=True, is_from_peer=from_peer
            )
        try:
            entry = decode_engine_entry(record.engine, record.value)
        except DecodeError as error:
            refuse("engine entry", record.engine, error)
            return EngineUpdate(record.engine, record.position, None, is_from_peer=from_peer)
        is_early = not from_peer and starts_later(entry, self._wall())
        return EngineUpdate(
            record.engine,
            record.position,
            entry,
            starts_later=is_early,
            source=record,
            is_from_peer=from_peer,
        )

    def _refresh_engines(self) -> None:
        before = self._entry_by_id
        self._engines = self.engine_list.engines()
        self._pools_by_service.clear()
        after = self._entry_by_id = {engine.id: engine for engine in self._engines}
        targets = self.target_by_id
        self.target_by_id = {
            id: targets[id] if before.get(id) is each else target_of(each)
            for id, each in after.items()
        }
        for engine_id in before.keys() | after.keys():
            old, new = before.get(engine_id), after.get(engine_id)
            if old is new:
                continue
            if old is None or new is None or old.is_draining != new.is_draining:
                state = "gone" if new is None else "draining" if new.is_draining else "ready"
                entry = new or old
                stage = entry.stage.value if entry is not None else ""
                logger.bind(
                    engine=engine_id,
                    state=state,
                    stage=stage,
                    software=entry.software if entry is not None else "",
                ).info("engine list changed")
            if new is None:
                self._removed.append(engine_id)
        for callback in self.on_engines_changed:
            callback()


def target_of(entry: EngineEntry) -> TunnelTarget:
    """Return an engine as the target of connections."""
    return TunnelTarget(
        entry.id, entry.incarnation, entry.address, entry.data_centre, entry.service
    )


def _log_workspaces(table: WorkspaceTable) -> None:
    """Log the size of a table, and log and count what was ignored of it."""
    for each in table.invalid[:MAX_INVALID_LOGGED]:
        refuse("workspace", each.source, each.error)
    refused_by_kind["workspace"] += len(table.invalid[MAX_INVALID_LOGGED:])
    logger.bind(
        workspaces=len(table.workspace_by_name), keys=table.key_count, ignored=len(table.invalid)
    ).info("workspaces in force")
