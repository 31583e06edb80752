"""Topology of the channels between control processes, as pure functions.

Within a data centre every VM has a channel to every other one. Two data centres are connected
through a few gateways on each side, chosen by rendezvous hashing. Of two VMs the one with the lower
name dials.
"""

import functools
import hashlib
from collections.abc import Iterable, Mapping

from pimentoquay.messages.cluster import Member

__all__ = ["addresses_to_dial", "gateways_between", "parse_seeds", "rendezvous_order"]

WEIGHT_CACHE_SIZE = 8192
"""Number of cached hashes, each of a key and a VM name.

A VM needs those of about 40 keys with 29 VMs, and those of the VMs of each other data centre.
"""


def rendezvous_order(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names in order of their rendezvous hash for ``key``, the owner first."""
    return tuple(sorted(names, key=lambda name: (_weight(key, name), name), reverse=True))


def gateways_between(
    data_centre: str, other: str, live_vms: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the live VMs of ``data_centre`` that hold the channels to ``other``."""
    low, high = sorted((data_centre, other))
    return rendezvous_order(f"gateway:{low}:{high}", live_vms)[:count]


def addresses_to_dial(
    vm: str,
    data_centre: str,
    vms_by_data_centre: Mapping[str, tuple[Member, ...]],
    live_by_data_centre: Mapping[str, tuple[str, ...]],
    gateways: int,
) -> dict[str, str]:
    """Return the control addresses that ``vm`` has to dial, by VM name.

    A VM that is not on the membership list dials every listed VM of its data centre. ``gateways``
    is the number of VMs of a data centre that connect to each other data centre.
    """
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
        remote = gateways_between(other, data_centre, live_by_data_centre.get(other, ()), gateways)
        wanted.update(
            (member.name, member.address)
            for member in members
            if member.name in remote and member.name > vm
        )
    return wanted


def parse_seeds(text: str) -> dict[str, str]:
    """Return the address of each seed by VM name; raise ``ValueError`` on a malformed item."""
    address_by_vm = {}
    for item in text.split():
        vm, separator, address = item.partition("=")
        if not vm or not separator or ":" not in address:
            raise ValueError(f"seed {item!r} is not of the form vm=host:port")
        address_by_vm[vm] = address
    return address_by_vm


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
