"""Exit statuses of ``pimentoquay-ctl`` and the exception that carries one."""

from enum import IntEnum

from pimentoquay.kernel import ResultCode

__all__ = ["CtlError", "ExitStatus", "exit_status_of"]


class ExitStatus(IntEnum):
    """Exit status of ``pimentoquay-ctl``, by which scripts distinguish outcomes."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6


class CtlError(Exception):
    """Failure of a command, with its exit status."""

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
    """Return the exit status for the result code of a published change."""
    return _STATUS_BY_CODE.get(code, ExitStatus.REFUSED)
