"""Set of a shard's engines, with rules for which of them may get work now."""

import math

from pimentoquay.backends.base import EngineRole, EngineStatus
from pimentoquay.membership import Shard
from pimentoquay.policy import Circuits, CircuitState, EngineLoad, SpeedBook, is_link_key, link_keys
from pimentoquay.scheduler.ledger import Ledger

__all__ = ["SLOW_PROBE_SECONDS", "EngineSet"]

SLOW_PROBE_SECONDS = 2.0
"""Age in seconds of the last speed sample after which a slow engine gets one test request."""


class EngineSet:
    """Engines of a shard, selected by reachability, drains, circuits and learned speeds.

    Parameters
    ----------
    ledger
        The shard's ledger, which holds the load of each engine.
    circuits
        Circuit breakers of engines and links.
    speeds
        Learned speeds of the engines.
    """

    def __init__(self, ledger: Ledger, circuits: Circuits, speeds: SpeedBook) -> None:
        self._ledger = ledger
        self._circuits = circuits
        self._speeds = speeds
        self._members: set[str] = set()
        self._draining_since: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def update_shard(self, shard: Shard) -> None:
        """Replace the list of engines.

        An engine that left the shard keeps its present grants but gets no new ones.
        """
        loads = self._ledger.engine_by_name
        self._members = {member.name for member in shard.engines}
        for member in shard.engines:
            if member.name not in loads:
                loads[member.name] = EngineLoad(
                    member.name, EngineRole.MIXED, 0, 0, member.data_centre
                )
        for name in sorted(set(loads) - self._members):
            loads[name].is_usable = False
            if not any(name in (g.prefill_engine, g.decode_engine) for g in self._ledger):
                del loads[name]
                self._speeds.forget_engine(name)

    def update_status(self, status: EngineStatus) -> None:
        """Update an engine's role, version and limits from its status report."""
        load = self._ledger.engine_by_name.get(status.engine)
        if load is None:
            return
        load.role = status.role
        load.version = status.version
        load.slots = 0 if status.role is EngineRole.PREFILL else status.decode_slots
        load.kv_capacity = status.kv_capacity_tokens
        load.is_usable = status.engine in self._members

    def drain(self, names: frozenset[str], now: float) -> None:
        """Stop giving work to exactly the named engines; other drains end."""
        since = self._draining_since
        self._draining_since = {name: since.get(name, now) for name in names}

    def is_draining(self, name: str) -> bool:
        """Return whether an engine is being drained and so gets no new work."""
        return name in self._draining_since

    def is_drained(self, status: EngineStatus, now: float) -> bool:
        """Return whether the drain of an engine is complete.

        It is complete when a status taken after the drain began shows no running request, and no
        grant names the engine.
        """
        since = self._draining_since.get(status.engine, math.inf)
        if now - status.age <= since or status.running:
            return False
        return not any(status.engine in (g.prefill_engine, g.decode_engine) for g in self._ledger)

    def mark_unreachable(self, name: str) -> None:
        """Mark an engine as unusable because it does not answer."""
        load = self._ledger.engine_by_name.get(name)
        if load is not None:
            load.is_usable = False

    def usable(self, now: float) -> list[EngineLoad]:
        """Return the engines that may get work now, including those whose probe is due."""
        live = self.live()
        if not self._circuits.open_keys():
            return live
        return [load for load in live if self._allows_request(load.name, now)]

    def live(self) -> list[EngineLoad]:
        """Return the reachable engines that are not draining, even with an open circuit."""
        return [load for load in self._ledger.engine_by_name.values() if self._accepts_work(load)]

    def circuit_wait(self, name: str, now: float) -> float:
        """Return the seconds until an engine's circuit allows a request again."""
        return self._circuits.retry_in(name, now)

    def next_probe_in(self, now: float) -> float:
        """Return the seconds until the next open circuit allows a probe; infinite if none will."""
        waits = (self._circuits.retry_in(key, now) for key in self._circuits.open_keys())
        return min((wait for wait in waits if wait > 0), default=math.inf)

    def avoided_links(self, now: float) -> frozenset[str]:
        """Return the keys of the link sides whose open circuit allows no transfer now."""
        keys = self._circuits.open_keys()
        if not keys:
            return frozenset()
        return frozenset(
            key for key in keys if is_link_key(key) and not self._allows_request(key, now)
        )

    def decoders(self, usable: list[EngineLoad], interval: float, now: float) -> list[EngineLoad]:
        """Return the engines that decode a token within ``interval`` seconds.

        An engine that is too slow is left out, except for an occasional request that tests
        whether it has recovered. If all engines are too slow, all are returned.
        """
        decoders = [load for load in usable if load.can_decode]
        fast = [load for load in decoders if not self._is_slow(load.name, interval, now)]
        if not fast:
            return decoders
        if len(fast) == len(decoders):
            return fast
        due = [
            load
            for load in decoders
            if load not in fast and self._is_due_for_speed_probe(load, now)
        ]
        return fast + due

    def prefillers(self, usable: list[EngineLoad]) -> list[EngineLoad]:
        """Return the engines whose role allows prefill."""
        return [load for load in usable if load.can_prefill]

    def _accepts_work(self, load: EngineLoad) -> bool:
        return load.is_usable and load.name not in self._draining_since

    def _allows_request(self, key: str, now: float) -> bool:
        return self._circuits.state(key, now) in (CircuitState.CLOSED, CircuitState.PROBE_DUE)

    def _is_slow(self, name: str, interval: float, now: float) -> bool:
        return interval > 0 and self._speeds.interval.of(name) > interval

    def _is_due_for_speed_probe(self, load: EngineLoad, now: float) -> bool:
        is_stale = now - self._speeds.interval.sampled_at(load.name) > SLOW_PROBE_SECONDS
        return is_stale and load.reserved + load.decoding == 0


def probe_keys(circuits: Circuits, prefill: str, decode: str, now: float) -> tuple[str, ...]:
    """Return the keys of a pair's engines and link sides whose circuit is due for a probe."""
    keys = dict.fromkeys((prefill, decode, *link_keys(prefill, decode)))
    return tuple(key for key in keys if circuits.state(key, now) is CircuitState.PROBE_DUE)
