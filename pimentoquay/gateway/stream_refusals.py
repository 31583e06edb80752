"""Refusals of streams that no engine can run, which their callers get at once."""

from pimentoquay.gateway.job import Job
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.policy.fleet import DECODE_STAGES
from pimentoquay.policy.version_choice import can_go_on

__all__ = [
    "refuse_if_hopeless",
    "refuse_if_paused",
    "refuse_if_unreachable",
    "refuse_if_version_gone",
]

RETRY_AFTER_SECONDS = 0.5
"""Retry-After value if no engine can be used."""


def refuse_if_hopeless(shared: SharedState, job: Job, software: str) -> None:
    """Refuse a stream if its engines have paused or are gone, or the gateway stops too soon."""
    job.refuse_if_late()
    refuse_if_paused(shared, job, software)
    refuse_if_version_gone(shared, job, software)


def refuse_if_unreachable(shared: SharedState, job: Job, software: str) -> None:
    """Refuse a stream if this gateway can use no decode engine at all."""
    if not any(
        shared.engines_for_stream(job.service, DECODE_STAGES, each) for each in {software, ""}
    ):
        raise RefusedError(
            ResultCode.NO_BACKEND, "no decode engine can be used", RETRY_AFTER_SECONDS
        )


def refuse_if_paused(shared: SharedState, job: Job, software: str) -> None:
    """Refuse a stream if all decode engines that may run it have requested a pause."""
    pause = shared.pause_seconds(job.service, DECODE_STAGES, software)
    if pause is not None:
        raise RefusedError(ResultCode.NO_BACKEND, "all decode engines have paused", pause)


def refuse_if_version_gone(shared: SharedState, job: Job, software: str) -> None:
    """Refuse a stream if no engine of the version that began it takes work."""
    if software and not can_go_on(shared.fleet.accepting_engines(job.service), software):
        detail = f"no engine of version {software} is left"
        raise RefusedError(ResultCode.STREAM_VERSION_GONE, detail)
