"""Exit statuses of ``pimentoquay-ctl`` and the error that carries one."""

from enum import IntEnum

from pimentoquay.kernel import ResultCode

__all__ = ["CtlError", "ExitStatus", "exit_status_of"]


class ExitStatus(IntEnum):
    """What a script can tell from the exit status."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6


class CtlError(Exception):
    """A command that failed, with its exit status."""

    def __init__(self, status: ExitStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status


_STATUS_BY_CODE = {
    ResultCode.CONFIG_ACCEPTED: ExitStatus.OK,
    ResultCode.CONFIG_CONFLICT: ExitStatus.CONFLICT,
    ResultCode.CONFIG_UNKNOWN: ExitStatus.UNKNOWN,
    ResultCode.CONFIG_INVALID: ExitStatus.INVALID,
}


def exit_status_of(code: ResultCode) -> ExitStatus:
    """Return the exit status of a publish that ended with a result code."""
    return _STATUS_BY_CODE.get(code, ExitStatus.REFUSED)
