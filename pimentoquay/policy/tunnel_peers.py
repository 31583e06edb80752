"""Choice of the peers through which a VM opens tunnels to engines that it does not reach.

Load pattern: one VM, a data centre, half of the VMs or all but one of them are cut off from
engines. Peers are asked in an order that spreads the VMs over them and prefers the nearest. VMs of
one data centre are often cut off together, so each one that has failed or not replied yet puts the
others of its data centre behind. A peer that does not reach the engine either names those through
which it reaches engines; they are asked once the first in order have failed, so that the only VM
that reaches any is found after few calls.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from pimentoquay.policy.mesh_plan import hash_rank

__all__ = ["PeerPlace", "TunnelPeers"]

AVOID_SECONDS = 1.0
"""Time for which a peer is asked last after it failed, or did not reach the engine."""

REFERRED_AFTER = 2
"""Number of peers that are asked before those that reach some engine are preferred. Asked first,
these few would carry most of the work."""

MAX_REFERRALS = 3
"""Maximum number of peers that are named to others as reaching an engine."""


@dataclass(frozen=True)
class PeerPlace:
    """Data centre and tunnel address of a peer; ``is_heard`` if it was heard lately."""

    data_centre: str
    address: str
    is_heard: bool = True


class TunnelPeers:
    """Results of one VM's attempts to open tunnels, and the choice of the peer that it asks next.

    Example
    -------
    >>> places = {"vm-2": PeerPlace("port", "a:1"), "vm-3": PeerPlace("hall", "b:1")}
    >>> peers = TunnelPeers("vm-1", "hall")
    >>> peers.choose("e", "hall", places, now=0.0)
    'vm-3'
    >>> peers.record_failure("vm-3", "e", now=0.0)
    >>> peers.choose("e", "hall", places, now=0.5)
    'vm-2'
    """

    def __init__(self, own: str, data_centre: str) -> None:
        self._own = own
        self._data_centre = data_centre
        self._failed_at_by_peer: dict[str, float] = {}
        self._failed_at_by_way: dict[tuple[str, str], float] = {}
        self._used_at_by_way: dict[tuple[str, str], float] = {}
        self._used_at_by_peer: dict[str, float] = {}
        self._named_at_by_peer: dict[str, float] = {}

    def choose(
        self,
        engine: str,
        engine_data_centre: str,
        places: Mapping[str, PeerPlace],
        now: float,
        asked: Collection[str] = (),
    ) -> str | None:
        """Return the peer to be asked next for a tunnel to an engine, or ``None`` if none is left.

        Parameters
        ----------
        engine, engine_data_centre
            The engine.
        places
            The peers that may be asked.
        now
            Current time in seconds.
        asked
            Peers that have been asked already.
        """
        doubts: Counter[str] = Counter()
        for vm, place in places.items():
            if vm in asked or self._has_failed(vm, engine, now):
                doubts[place.data_centre] += 1

        def rank(vm: str) -> tuple[bool, bool, bool, bool, int, int, bytes]:
            place = places[vm]
            crossings = (place.data_centre != self._data_centre) + (
                place.data_centre != engine_data_centre
            )
            return (
                self._has_failed(vm, engine, now),
                not self._is_promising(vm, engine, now),
                len(asked) >= REFERRED_AFTER and not self._reaches_any(vm, now),
                not place.is_heard,
                doubts[place.data_centre],
                crossings,
                hash_rank(f"{self._own} {engine} {vm}"),
            )

        left = (vm for vm in places if vm != self._own and vm not in asked)
        return min(left, key=rank, default=None)

    def record_failure(self, peer: str, engine: str | None, now: float) -> None:
        """Record that a peer did not open a tunnel to an engine, or to any if None is given."""
        if engine is None:
            self._failed_at_by_peer[peer] = now
        else:
            self._failed_at_by_way[peer, engine] = now
            self._used_at_by_way.pop((peer, engine), None)

    def record_opened(self, peer: str, engine: str, now: float) -> None:
        """Record that a peer has opened a tunnel to an engine."""
        self._used_at_by_way[peer, engine] = self._used_at_by_peer[peer] = now
        self._failed_at_by_way.pop((peer, engine), None)
        self._failed_at_by_peer.pop(peer, None)

    def learn(self, peers: Iterable[str], now: float) -> None:
        """Record peers through which another VM reaches engines."""
        for peer in peers:
            self._named_at_by_peer[peer] = now

    def referrals(self, engine: str, now: float) -> tuple[str, ...]:
        """Return peers that have opened a tunnel for this VM lately.

        Those that did so for the engine come first, and then the newest, as most cuts concern
        several engines and a peer that reaches one of them probably reaches others.
        """
        used = sorted(
            (
                (self._used_at_by_way.get((peer, engine), float("-inf")), at, peer)
                for peer, at in self._used_at_by_peer.items()
                if now - at < AVOID_SECONDS and not self._has_failed(peer, engine, now)
            ),
            reverse=True,
        )
        return tuple(peer for _, _, peer in used[:MAX_REFERRALS])

    def expire(self, now: float) -> None:
        """Drop results that no longer count."""
        self._failed_at_by_peer = _recent(self._failed_at_by_peer, now)
        self._failed_at_by_way = _recent(self._failed_at_by_way, now)
        self._used_at_by_way = _recent(self._used_at_by_way, now)
        self._used_at_by_peer = _recent(self._used_at_by_peer, now)
        self._named_at_by_peer = _recent(self._named_at_by_peer, now)

    def _has_failed(self, vm: str, engine: str, now: float) -> bool:
        """Return whether a peer has failed lately, for this engine or for any."""
        failed_at = max(
            self._failed_at_by_peer.get(vm, float("-inf")),
            self._failed_at_by_way.get((vm, engine), float("-inf")),
        )
        return now - failed_at < AVOID_SECONDS

    def _is_promising(self, vm: str, engine: str, now: float) -> bool:
        """Return whether a peer has opened a tunnel to an engine lately."""
        last = self._used_at_by_way.get((vm, engine), float("-inf"))
        return now - last < AVOID_SECONDS

    def _reaches_any(self, vm: str, now: float) -> bool:
        """Return whether a peer has opened a tunnel lately, for this VM or for another."""
        last = max(
            self._used_at_by_peer.get(vm, float("-inf")),
            self._named_at_by_peer.get(vm, float("-inf")),
        )
        return now - last < AVOID_SECONDS


def _recent(at_by_key: dict, now: float) -> dict:  # type: ignore[type-arg]
    return {key: at for key, at in at_by_key.items() if now - at < AVOID_SECONDS}
