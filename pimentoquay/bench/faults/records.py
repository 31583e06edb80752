"""Records of calls, orders, configuration versions and published changes, read by the checks."""

from dataclasses import dataclass
from enum import IntEnum

from pimentoquay.kernel import ResultCode

__all__ = [
    "WORKSPACE",
    "Call",
    "CallKind",
    "CallRecord",
    "Ending",
    "InForce",
    "OrderTaken",
    "Published",
]

WORKSPACE = "office"
"""Name of the workspace of all callers."""


class CallKind(IntEnum):
    """Kind of call.

    ``STREAM`` requests a streamed answer, ``WHOLE`` an answer in one piece, ``ONCE`` an answer to a
    request that must not run twice, and ``PLAIN`` calls a plain service.
    """

    STREAM = 0
    WHOLE = 1
    ONCE = 2
    PLAIN = 3


class Ending(IntEnum):
    """End of a call as its caller saw it.

    The caller got an answer, got an error, disconnected (``LEFT``) or lost the connection.
    """

    ANSWERED = 0
    ERROR = 1
    LEFT = 2
    LOST = 3


@dataclass(frozen=True)
class Call:
    """Call to be made at ``at`` virtual seconds.

    Parameters
    ----------
    vm : int
        Index that selects one of the ready VMs, modulo their number.
    leaves_after : float
        Time in seconds after which the caller disconnects; 0 for never.
    key : str
        Idempotency key, which a call and its repetition through another VM share.
    """

    number: int
    at: float
    kind: CallKind
    vm: int
    prompt: str
    max_tokens: int
    leaves_after: float
    key: str

    @property
    def request_id(self) -> str:
        """Request id that engines and plain services receive."""
        return f"{WORKSPACE}/call-{self.number}"


@dataclass
class CallRecord:
    """Result of a call as its caller saw it; times are in virtual seconds.

    ``ended_at`` is 0 while the call is in progress. ``vms`` are the VMs through which the call and
    its retries went; ``was_draining`` is whether one of them was draining.
    """

    call: Call
    began_at: float
    ended_at: float = 0.0
    ending: Ending | None = None
    code: ResultCode | None = None
    text: str = ""
    vms: tuple[str, ...] = ()
    was_draining: bool = False


@dataclass(frozen=True)
class InForce:
    """Version of the workspace that a VM's control process put in force."""

    at: float
    vm: str
    version: int
    weight: int


@dataclass(frozen=True)
class OrderTaken:
    """Order that took effect on an engine.

    ``holder`` is the process that sent it, ``number`` the fencing number of its lease.
    """

    engine: str
    holder: str
    number: int
    at: float


@dataclass(frozen=True)
class Published:
    """Published change and the answer to it; ``code`` is ``None`` if there was no answer."""

    change_id: str
    weight: int
    code: ResultCode | None
    version: int
    answered_at: float
