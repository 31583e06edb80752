"""Messages between ``pimentoquay-ctl`` and a control process (numbers 90 to 109)."""

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.messages.codec import message
from pimentoquay.messages.configuration import ChangeOutcome
from pimentoquay.messages.workspaces import ConfigurationRecord

__all__ = [
    "DrainAnswer",
    "DrainRequest",
    "GetAnswer",
    "GetRequest",
    "HistoryAnswer",
    "HistoryRequest",
    "PublishAnswer",
    "PublishRequest",
    "StatusAnswer",
    "StatusLine",
    "StatusRequest",
    "TimelineEvent",
    "TimelineEvents",
    "TimelineRequest",
    "VmStatus",
]


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
    """Ask a VM for its state, and if ``spread`` for what its peers tell of theirs."""

    spread: bool


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
    """What is known of the VMs; those in ``silent`` are live by the list but did not answer."""

    vms: tuple[VmStatus, ...]
    silent: tuple[str, ...]


@message(100)
class TimelineRequest:
    """Ask for time line events; empty filters match all, ``since_us`` is wall time in µs."""

    query: int
    request_id: str
    workspace: str
    since_us: int
    spread: bool


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
    """Events of one process, or of all; ``silent`` names processes that did not answer."""

    query: int
    events: tuple[TimelineEvent, ...]
    silent: tuple[str, ...]


@message(103)
class DrainRequest:
    """Ask a VM to leave: it finishes what it has and takes nothing new."""

    vm: str


@message(104)
class DrainAnswer:
    """Whether the VM was told to leave."""

    vm: str
    code: ResultCode
    detail: str
