"""Settings of the program ``pimentoquay-standin``."""

from dataclasses import dataclass, field

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.kernel.sections import LogSection
from pimentoquay.kernel.settings import setting
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.standin.engine_model import EngineModel
from pimentoquay.standin.log import LogModel
from pimentoquay.standin.plain_service import PlainModel

__all__ = ["StandinSettings", "parse_members"]

_KIND_BY_WORD = {
    "entry-vm": MemberKind.ENTRY_VM,
    "engine": MemberKind.ENGINE,
    "service": MemberKind.SERVICE,
}
_MEMBER_FORMAT = "NAME KIND REGION DATA-CENTRE IP:PORT POOL FENCING"


@dataclass(frozen=True)
class StandinSection:
    """The ``[standin]`` section: kind, address and name of the stand-in that is served."""

    kind: str = setting(
        help="kind of server that this process stands in for",
        choices=("engine", "log", "membership", "weights", "plain"),
    )
    listen: str = setting(help="IP:PORT to listen on")
    name: str = setting(help="name on the membership list", default="standin")


@dataclass(frozen=True)
class EngineSection(EngineModel):
    """Settings of a stand-in engine: durations, limits and state at start."""

    model: str = setting(help="name of the model that it serves", default="model")
    version: str = setting(help="version of the weights loaded at start", default="v1")
    role: str = setting(
        help="stages served at start", default="mixed", choices=("prefill", "decode", "mixed")
    )
    weight_store: str = setting(
        help="IP:PORT of the weight store; empty for loads without a fetch", default=""
    )


@dataclass(frozen=True)
class MembershipSection:
    """Settings of the stand-in membership list."""

    lag: float = setting(
        help="delay until a change is visible", default=0.0, low=0.0, high=600.0, unit="s"
    )
    members: str = setting(help=f"one member per line: {_MEMBER_FORMAT}", default="")


@dataclass(frozen=True)
class WeightsSection:
    """Settings of the stand-in weight store."""

    rate: float = setting(
        help="total rate of all concurrent reads", default=1e9, low=1.0, high=1e12, unit="bytes/s"
    )


@dataclass(frozen=True)
class StandinSettings:
    """Sections of the settings file."""

    standin: StandinSection
    engine: EngineSection
    log: LogModel
    membership: MembershipSection
    weights: WeightsSection
    plain: PlainModel
    logs: LogSection = field(default_factory=LogSection)


def parse_members(text: str) -> tuple[Member, ...]:
    """Return the members listed one per line.

    Raises
    ------
    PimentoquayError
        If a line is malformed; the error message contains the line.

    Example
    -------
    ::

        parse_members("e1 engine tt-north city-hall 127.0.0.1:7201 diag-llm yes")
    """
    lines = [line.split() for line in text.splitlines() if line.strip()]
    return tuple(_parse_member(words) for words in lines)


def _parse_member(words: list[str]) -> Member:
    if len(words) != 7 or words[1] not in _KIND_BY_WORD or words[6] not in ("yes", "no"):
        shown = " ".join(words)
        detail = f"[membership] members = {shown!r}: allowed: {_MEMBER_FORMAT}, KIND one of "
        detail += ", ".join(_KIND_BY_WORD) + ", POOL - for none, FENCING yes or no"
        raise PimentoquayError(ResultCode.SETTING_INVALID, detail)
    name, kind, region, data_centre, address, pool, fencing = words
    return Member(
        name,
        _KIND_BY_WORD[kind],
        MemberState.LIVE,
        region,
        data_centre,
        address,
        "" if pool == "-" else pool,
        fencing == "yes",
    )
