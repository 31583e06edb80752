"""What callers and operators did and saw, as the checks read it."""

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


class CallKind(IntEnum):
    """What a caller asks for."""

    STREAM = 0
    WHOLE = 1
    ONCE = 2
    PLAIN = 3


class Ending(IntEnum):
    """How a call ended for its caller."""

    ANSWERED = 0
    ERROR = 1
    LEFT = 2
    LOST = 3


@dataclass(frozen=True)
class Call:
    """One call to be made; ``leaves_after`` is in seconds, 0 for a caller who stays.

    ``key`` is the idempotency key, which a call and its repetition through another VM share.
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
        """The request id as engines and services see it."""
        return f"{WORKSPACE}/call-{self.number}"


@dataclass
class CallRecord:
    """What a caller saw; times are in virtual seconds, ``ended_at`` is 0 until then."""

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
    """A VM's control process put a version of the workspace in force."""

    at: float
    vm: str
    version: int
    weight: int


@dataclass(frozen=True)
class OrderTaken:
    """An order that took effect on an engine; ``holder`` is the process that sent it."""

    engine: str
    holder: str
    number: int
    at: float


@dataclass(frozen=True)
class Published:
    """One change and the answer its operator got; ``code`` is ``None`` if none came."""

    change_id: str
    weight: int
    code: ResultCode | None
    version: int
    answered_at: float
