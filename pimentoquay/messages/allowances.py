"""Messages between gateways about allowances of workspaces (numbers 170 to 174).

They are always sent inside ``Routed``, also in a full mesh: a build that doesn't know their numbers
ignores them there, while it would close a channel on which it received one. Times are in seconds.
"""

from enum import IntEnum

from pimentoquay.messages.codec import message

__all__ = [
    "AllowanceAsk",
    "AllowanceOutcome",
    "AllowanceReply",
    "AllowanceReturned",
    "Lease",
    "LeaseRequest",
]


class AllowanceOutcome(IntEnum):
    """Outcome of an ask; it is kept until there is room if it is ``QUEUED``.

    ``NOT_GRANTER`` says that the receiver holds no right to grant; it keeps the ask in case that it
    gets one in time.
    """

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2
    NOT_GRANTER = 3


@message(170)
class AllowanceAsk:
    """Ask for the units of one request; it is repeated with the same ``number``.

    ``version`` is that of the configuration that states ``per_second`` and ``burst``. ``patience``
    is the time for which the sender waits in all, ``waited`` that for which it has waited.
    """

    number: int
    workspace: str
    version: int
    per_second: float
    burst: float
    units: float
    patience: float
    waited: float


@message(171)
class AllowanceReply:
    """Reply to ``AllowanceAsk``.

    ``seconds`` is the time to retry after if it is REFUSED, and the time for which the request had
    waited when its ask was GRANTED. ``session`` identifies the start of the granter.
    """

    number: int
    outcome: AllowanceOutcome
    seconds: float
    session: int


@message(172)
class AllowanceReturned:
    """Units of a request that did not run, ``age`` seconds after they were granted.

    The ask with this ``number`` is forgotten if it still waits. ``session`` is that of the grant.
    """

    number: int
    workspace: str
    session: int
    units: float
    age: float


@message(173)
class LeaseRequest:
    """Request of a granter for the vote of a VM; ``sent_at`` is on the granter's clock.

    ``known_list`` is the checksum of the list that the granter last received from this voter.
    """

    sent_at: float
    known_list: int


@message(174)
class Lease:
    """Vote of a VM, which lets a granter earn allowances for ``seconds`` from ``sent_at``.

    It is valid for the workspaces of which the granter comes first among ``granters``. The list is
    left out if the granter knows it by its checksum ``list_id``. ``vm_count`` is the number of VMs
    that the voter knows.
    """

    sent_at: float
    seconds: float
    vm_count: int
    list_id: int
    granters: tuple[str, ...] | None
