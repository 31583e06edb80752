"""Count the prompts that engines have read for nothing, by why."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Iterator

from pimentoquay.gateway.stream_progress import RunEndedError
from pimentoquay.http1 import ServerState

__all__ = ["PromptWaste"]


class PromptWaste:
    """Tokens of prompts that were read for runs which did not end, as far as this gateway knows.

    Engines also read prompts again of requests that they preempt; only their own reports tell.
    ``tokens_by_reason`` counts them by why the run did not end.

    Example
    -------
    >>> waste = PromptWaste()
    >>> with contextlib.suppress(RunEndedError), waste.watch(5000):
    ...     raise RunEndedError("rejected", has_run=False)
    >>> waste.tokens_by_reason
    Counter({'refused': 5000})
    """

    def __init__(self) -> None:
        self.tokens_by_reason: Counter[str] = Counter()

    @contextlib.contextmanager
    def watch(self, tokens: int) -> Iterator[None]:
        """Count a prompt that has been read if the run in the block does not end."""
        try:
            yield
        except RunEndedError as error:
            self.tokens_by_reason[_reason(error)] += tokens
            raise
        except asyncio.CancelledError:
            self.tokens_by_reason["caller left or timeout"] += tokens
            raise

    def record_prefill(self, tokens: int) -> None:
        """Count a prompt whose prefill failed after it had been sent."""
        self.tokens_by_reason["prefill failed"] += tokens


def _reason(error: RunEndedError) -> str:
    if not error.has_run:
        return "refused"
    return "engine lost" if error.engine_state is ServerState.REFUSING else "run broken off"
