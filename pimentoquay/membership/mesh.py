"""Who talks to whom between control processes; pure decisions.

Within a data centre every VM has a channel to every other. Between two data centres a few
gateways on each side, chosen by rendezvous hashing, hold the channels. Of two VMs the one with
the lower name dials.
"""

import functools
import hashlib
from collections.abc import Iterable, Mapping

from pimentoquay.messages.cluster import Member

__all__ = ["gateways_between", "parse_seeds", "ranked", "wanted_addresses"]

WEIGHTS_KEPT = 8192
"""Hashes kept: a VM asks for those of 29 VMs under some 40 keys, and of each far data centre's."""


def ranked(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names in rendezvous order for ``key``, the owner first."""
    return tuple(sorted(names, key=lambda name: (_weight(key, name), name), reverse=True))


def gateways_between(
    data_centre: str, other: str, live_vms: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the VMs of ``data_centre`` that talk to the data centre ``other``."""
    low, high = sorted((data_centre, other))
    return ranked(f"gateway:{low}:{high}", live_vms)[:count]


def wanted_addresses(
    vm: str,
    data_centre: str,
    vms_by_data_centre: Mapping[str, tuple[Member, ...]],
    live_by_data_centre: Mapping[str, tuple[str, ...]],
    gateways: int,
) -> dict[str, str]:
    """Return the control address of each VM that ``vm`` has to dial, by name."""
    own = vms_by_data_centre.get(data_centre, ())
    is_listed = any(member.name == vm for member in own)
    wanted = {
        member.name: member.address
        for member in own
        if member.name != vm and (member.name > vm or not is_listed)
    }
    for other, members in vms_by_data_centre.items():
        own_live = live_by_data_centre.get(data_centre, ())
        if other == data_centre or vm not in gateways_between(
            data_centre, other, own_live, gateways
        ):
            continue
        far = gateways_between(other, data_centre, live_by_data_centre.get(other, ()), gateways)
        wanted.update(
            (member.name, member.address)
            for member in members
            if member.name in far and member.name > vm
        )
    return wanted


def parse_seeds(text: str) -> dict[str, str]:
    """Return the address of each seed by VM name; ``ValueError`` names a malformed item."""
    address_by_vm = {}
    for item in text.split():
        vm, separator, address = item.partition("=")
        if not vm or not separator or ":" not in address:
            raise ValueError(f"seed {item!r} is not of the form vm=host:port")
        address_by_vm[vm] = address
    return address_by_vm


@functools.lru_cache(maxsize=WEIGHTS_KEPT)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
