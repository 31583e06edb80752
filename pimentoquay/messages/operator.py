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
    """Whom a question reaches.

    ``ALL`` is asked of one VM, which asks ``GATEWAYS`` of the others in its data centre; each of
    those asks ``DATA_CENTRE`` of one VM in each other data centre that it has a channel to, and
    that one asks ``SELF`` of its neighbours.
    """

    SELF = 0
    DATA_CENTRE = 1
    GATEWAYS = 2
    ALL = 3


@message(90)
class PublishRequest:
    """Ask a control process to publish a change and to learn its outcome."""

    record: ConfigurationRecord


@message(91)
class PublishAnswer:
    """The outcome of a change.

    ``version`` is the new version of an accepted change and the one in force after a conflict.
    """

    change_id: str
    code: ResultCode
    version: int
    detail: str


@message(92)
class GetRequest:
    """Ask for one workspace in force, or, if ``name`` is empty, for those after ``after_name``."""

    name: str
    after_name: str


@message(93)
class GetAnswer:
    """Workspaces in force with their versions, and the count of log records folded."""

    offset: int
    records: tuple[ConfigurationRecord, ...]
    has_more: bool


@message(94)
class HistoryRequest:
    """Ask for the changes of one workspace that are still remembered."""

    name: str


@message(95)
class HistoryAnswer:
    """Outcomes of a workspace's changes, oldest first, and the accepted records still kept."""

    outcomes: tuple[ChangeOutcome, ...]
    records: tuple[ConfigurationRecord, ...]


@message(96)
class StatusRequest:
    """Ask VMs for their state; ``query`` comes back in the answer."""

    query: int
    scope: Scope


@message(97)
class StatusLine:
    """One thing that a part reports: ``state`` is ok, waiting or stuck; ``detail`` says why."""

    part: str
    subject: str
    state: str
    detail: str


@message(98)
class VmStatus:
    """The state of one VM; ``configuration_offset`` is -1 before it is ready."""

    vm: str
    region: str
    data_centre: str
    configuration_offset: int
    is_leaving: bool
    lines: tuple[StatusLine, ...]


@message(99)
class StatusAnswer:
    """The VMs that answered; those in ``silent`` are live by the list but did not."""

    query: int
    vms: tuple[VmStatus, ...]
    silent: tuple[str, ...]


@message(100)
class TimelineRequest:
    """Ask for time line events; empty filters match all, ``since_us`` is wall time in µs."""

    query: int
    scope: Scope
    request_id: str
    workspace: str
    since_us: int


@message(101)
class TimelineEvent:
    """One event with its hybrid logical clock stamp."""

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
    """Events of the processes that answered, in causal order, newest ones if there are many."""

    query: int
    events: tuple[TimelineEvent, ...]


@message(103)
class DrainRequest:
    """Ask the VM named to leave: it finishes what it has and takes nothing new."""

    query: int
    scope: Scope
    vm: str


@message(104)
class DrainAnswer:
    """Whether the VM was reached and told to leave."""

    query: int
    was_told: bool


@message(105)
class BeginAnewRequest:
    """Ask to start with an empty configuration, after the log has lost the last one."""

    query: int


@message(106)
class BeginAnewAnswer:
    """``CONFIG_ACCEPTED`` if an empty configuration was written to the log."""

    query: int
    code: ResultCode
    detail: str
