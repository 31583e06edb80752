"""Messages between ``pimentoquay-ctl`` and a control process (numbers 90 to 109)."""

from enum import IntEnum

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.messages.codec import message
from pimentoquay.messages.configuration import ChangeOutcome
from pimentoquay.messages.workspaces import ConfigurationRecord

__all__ = [
    "BeginAnewAnswer",
    "BeginAnewRequest",
    "DrainAnswer",
    "DrainRequest",
    "GetAnswer",
    "GetRequest",
    "HistoryAnswer",
    "HistoryRequest",
    "PublishAnswer",
    "PublishRequest",
    "Scope",
    "StatusAnswer",
    "StatusLine",
    "StatusRequest",
    "TimelineEvent",
    "TimelineEvents",
    "TimelineRequest",
    "VmStatus",
]


class Scope(IntEnum):
    """Set of VMs to which a request is forwarded.

    A VM that receives ``ALL`` forwards the request as ``GATEWAYS`` to the other VMs in its data
    centre. Each of them forwards it as ``DATA_CENTRE`` to one VM in each other data centre that it
    has a channel to, and that VM forwards it as ``SELF`` to the VMs of its own data centre.
    """

    SELF = 0
    DATA_CENTRE = 1
    GATEWAYS = 2
    ALL = 3


@message(90)
class PublishRequest:
    """Request to publish a configuration change and return its outcome."""

    record: ConfigurationRecord


@message(91)
class PublishAnswer:
    """Outcome of a published change.

    ``version`` is the new version of an accepted change, or the one in force after a conflict.
    """

    change_id: str
    code: ResultCode
    version: int
    detail: str


@message(92)
class GetRequest:
    """Request for the workspace ``name`` or, if that is empty, for those after ``after_name``."""

    name: str
    after_name: str


@message(93)
class GetAnswer:
    """Workspaces in force with their versions; ``offset`` is the number of applied log records."""

    offset: int
    records: tuple[ConfigurationRecord, ...]
    has_more: bool


@message(94)
class HistoryRequest:
    """Request for the changes of one workspace that are still kept."""

    name: str


@message(95)
class HistoryAnswer:
    """Outcomes of the changes of a workspace, oldest first, and the accepted records still kept."""

    outcomes: tuple[ChangeOutcome, ...]
    records: tuple[ConfigurationRecord, ...]


@message(96)
class StatusRequest:
    """Request for the state of VMs; the response repeats the number ``query``."""

    query: int
    scope: Scope


@message(97)
class StatusLine:
    """State of one subject in a part of a process: ok, waiting or stuck, with the reason."""

    part: str
    subject: str
    state: str
    detail: str


@message(98)
class VmStatus:
    """State of one VM; ``configuration_offset`` is -1 until it has a configuration."""

    vm: str
    region: str
    data_centre: str
    configuration_offset: int
    is_leaving: bool
    lines: tuple[StatusLine, ...]


@message(99)
class StatusAnswer:
    """States of the VMs that responded; ``silent`` names listed live VMs that did not."""

    query: int
    vms: tuple[VmStatus, ...]
    silent: tuple[str, ...]


@message(100)
class TimelineRequest:
    """Request for timeline events; empty filters match all, ``since_us`` is wall time in µs."""

    query: int
    scope: Scope
    request_id: str
    workspace: str
    since_us: int


@message(101)
class TimelineEvent:
    """One timeline event with its hybrid logical clock timestamp (``wall_us``, ``count``)."""

    wall_us: int
    count: int
    vm: str
    process: str
    kind: str
    request_id: str
    workspace: str
    detail: str


@message(102)
class TimelineEvents:
    """Events of the processes that responded, in causal order; the oldest may be left out."""

    query: int
    events: tuple[TimelineEvent, ...]


@message(103)
class DrainRequest:
    """Request for the named VM to leave: it finishes its requests and accepts no new ones."""

    query: int
    scope: Scope
    vm: str


@message(104)
class DrainAnswer:
    """Whether the drain request reached the named VM."""

    query: int
    was_told: bool


@message(105)
class BeginAnewRequest:
    """Request to start with an empty configuration after the log has lost the last one."""

    query: int


@message(106)
class BeginAnewAnswer:
    """Outcome: ``CONFIG_ACCEPTED`` if an empty configuration was written to the log."""

    query: int
    code: ResultCode
    detail: str
