"""Maps an idempotency key to the VM that decides its claims, without I/O.

Keys are divided into buckets, each with its own log stream. A bucket belongs to the first
reachable data centre in rendezvous order, and there to one live VM. VMs with different views of
the cluster may name different owners for a while. This is safe, because the order of claims on
the log decides and not the owner.
"""

import hashlib
from collections.abc import Iterable

from pimentoquay.membership.mesh import rendezvous_order
from pimentoquay.membership.ownership import owner_of
from pimentoquay.messages.cluster import ClusterView, MemberKind

__all__ = ["KEY_BUCKETS", "bucket_of_key", "key_digest", "key_stream", "owner_vm_of_key"]

KEY_BUCKETS = 32
"""Number of buckets; each has its own log stream, so an owner reads only the keys it decides."""

DIGEST_BYTES = 16


def key_digest(workspace: str, key: str) -> bytes:
    """Return the digest that identifies a workspace's key on the log."""
    data = f"{len(workspace)}:{workspace}{key}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def bucket_of_key(workspace: str, key: str) -> int:
    """Return the number of a key's bucket."""
    return int.from_bytes(key_digest(workspace, key)[:4], "big") % KEY_BUCKETS


def key_stream(bucket: int) -> str:
    """Return the name of a bucket's log stream."""
    return f"keys-{bucket}"


def owner_vm_of_key(
    view: ClusterView, data_centres: Iterable[str], workspace: str, key: str
) -> str:
    """Return the VM that decides claims of a key, or an empty string if none can be reached.

    Parameters
    ----------
    view
        The cluster as the caller sees it.
    data_centres
        The configured data centres; if empty, those of the membership list.
    workspace
        The caller's workspace.
    key
        The idempotency key.
    """
    live = frozenset(view.live_vms)
    vms_by_data_centre: dict[str, list[str]] = {}
    for member in view.members:
        if member.kind is MemberKind.ENTRY_VM:
            vms = vms_by_data_centre.setdefault(member.data_centre, [])
            if member.name in live:
                vms.append(member.name)
    stream = key_stream(bucket_of_key(workspace, key))
    for data_centre in rendezvous_order(stream, tuple(data_centres) or vms_by_data_centre):
        vms = vms_by_data_centre.get(data_centre, [])
        if vms and data_centre in view.reachable_data_centres:
            return owner_of(stream, vms)
    return ""
