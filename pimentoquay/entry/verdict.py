"""What may be said and done after a failure; pure.

``may_have_run`` is whether an engine may have run any part of the request.
"""

from pimentoquay.entry.attempt import StageFailedError
from pimentoquay.entry.request import RequestSpec
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode, is_not_run
from pimentoquay.messages.placement import Stage

__all__ = ["error_after", "may_run_again", "settled_code", "truthful"]


def may_run_again(spec: RequestSpec, failure: StageFailedError, may_have_run: bool) -> bool:
    """Tell whether another attempt cannot run a request twice that may run only once."""
    if spec.kind.idempotent or not may_have_run:
        return True
    return failure.stage is Stage.TRANSFER and failure.kv is not None


def error_after(
    spec: RequestSpec, failure: StageFailedError, may_have_run: bool
) -> PimentoquayError:
    """Return the final error of a request that a failed stage ended."""
    if not may_have_run:
        return RefusedError(ResultCode.NO_BACKEND, failure.detail)
    if not spec.kind.idempotent:
        return PimentoquayError(ResultCode.OUTCOME_UNKNOWN, failure.detail)
    return failure


def truthful(spec: RequestSpec, error: PimentoquayError, may_have_run: bool) -> PimentoquayError:
    """Return the error, or another one if it says "not run" and that may be untrue."""
    if not (is_not_run(error.code) and may_have_run):
        return error
    code = ResultCode.ENGINE_FAILED if spec.kind.idempotent else ResultCode.OUTCOME_UNKNOWN
    return PimentoquayError(code, error.detail)


def settled_code(code: ResultCode, may_have_run: bool) -> ResultCode:
    """Return what a key's owner is told of a request that its caller may have left."""
    if code is not ResultCode.CANCELLED:
        return code
    return ResultCode.OUTCOME_UNKNOWN if may_have_run else ResultCode.NO_BACKEND
