"""Errors that carry a numbered result code, and the error of an HTTP exchange."""

from pimentoquay.kernel.codes import ResultCode, info_of

__all__ = ["HttpError", "PimentoquayError", "RefusedError"]


class PimentoquayError(Exception):
    """An error with a result code and a detail that names the offending value.

    Parameters
    ----------
    code
        The numbered outcome.
    detail
        What was wrong, with the value that caused it.
    """

    def __init__(self, code: ResultCode, detail: str = "") -> None:
        super().__init__(f"{int(code)} {info_of(code).text}" + (f": {detail}" if detail else ""))
        self.code = code
        self.detail = detail


class RefusedError(PimentoquayError):
    """A truthful refusal; ``retry_after`` is in seconds, zero when a retry is no use."""

    def __init__(self, code: ResultCode, detail: str = "", retry_after: float = 0.0) -> None:
        super().__init__(code, detail)
        self.retry_after = retry_after


class HttpError(Exception):
    """No whole answer came; ``written`` tells whether a byte of the request was sent."""

    def __init__(self, detail: str, written: bool) -> None:
        super().__init__(detail)
        self.written = written
