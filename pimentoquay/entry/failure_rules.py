"""Rules for retrying a failed request and for the error that its caller receives.

All functions are pure. ``may_have_run`` says whether an engine may have run any part of the
request.
"""

from pimentoquay.entry.attempt import StageFailedError
from pimentoquay.entry.request import RequestSpec
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode, is_not_run
from pimentoquay.messages.placement import Stage

__all__ = ["correct_not_run_code", "error_after_failed_stage", "may_run_again", "settled_code"]


def may_run_again(spec: RequestSpec, failure: StageFailedError, may_have_run: bool) -> bool:
    """Return whether another attempt is allowed.

    A request that is not idempotent must not run twice. It may be tried again if nothing ran, or
    if a transfer failed and its KV cache is still held, since only the transfer is repeated then.
    """
    if spec.kind.idempotent or not may_have_run:
        return True
    return failure.stage is Stage.TRANSFER and failure.kv is not None


def error_after_failed_stage(
    spec: RequestSpec, failure: StageFailedError, may_have_run: bool
) -> PimentoquayError:
    """Return the final error of a request that ends with a failed stage."""
    if not may_have_run:
        return RefusedError(ResultCode.NO_BACKEND, failure.detail)
    if not spec.kind.idempotent:
        return PimentoquayError(ResultCode.OUTCOME_UNKNOWN, failure.detail)
    return failure


def correct_not_run_code(
    spec: RequestSpec, error: PimentoquayError, may_have_run: bool
) -> PimentoquayError:
    """Return the error unchanged, or replace a "not run" code if the request may have run."""
    if not (is_not_run(error.code) and may_have_run):
        return error
    code = ResultCode.ENGINE_FAILED if spec.kind.idempotent else ResultCode.OUTCOME_UNKNOWN
    return PimentoquayError(code, error.detail)


def settled_code(code: ResultCode, may_have_run: bool) -> ResultCode:
    """Return the code that settles the idempotency key of a request.

    For a request cancelled by its caller it says whether the request may have run; other codes are
    returned unchanged.
    """
    if code is not ResultCode.CANCELLED:
        return code
    return ResultCode.OUTCOME_UNKNOWN if may_have_run else ResultCode.NO_BACKEND
