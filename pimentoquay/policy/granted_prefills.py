"""What was in an engine's queue when a coordinator granted it a prefill.

Load pattern: many gateways send prompts to the same prefill engines. A gateway that measures how
long a prefill took does not know which prompts of other gateways were before it; the coordinator
that granted the engine does.
"""

from collections import OrderedDict

__all__ = ["GrantedPrefills"]

KEPT_SECONDS = 4.0
"""Time for which a granted prefill is remembered; it is done within 2 s and reported within 1 s."""

MAX_KEPT = 4096
"""Maximum number of granted prefills that are remembered, for 400 a second."""

PromptKey = tuple[str, str, int]
"""VM of the gateway, id of the engine, and length of the prompt in tokens."""


class GrantedPrefills:
    """Tokens that were before the prompts of granted prefills in the queues of their engines."""

    def __init__(self) -> None:
        self._ahead_by_prompt: OrderedDict[PromptKey, tuple[float, int]] = OrderedDict()

    def add(self, vm: str, engine: str, tokens: int, ahead: int, now: float) -> None:
        """Remember a grant, and the tokens that are in the engine's queue.

        Of two prompts of the same length, the one with more before it is remembered.
        """
        key = vm, engine, tokens
        granted_at, known = self._ahead_by_prompt.pop(key, (now, 0))
        is_old = now - granted_at > KEPT_SECONDS
        self._ahead_by_prompt[key] = now, ahead if is_old else max(ahead, known)
        while self._ahead_by_prompt:
            oldest = next(iter(self._ahead_by_prompt))
            is_old = now - self._ahead_by_prompt[oldest][0] > KEPT_SECONDS
            if not is_old and len(self._ahead_by_prompt) <= MAX_KEPT:
                return
            del self._ahead_by_prompt[oldest]

    def ahead(self, vm: str, engine: str, tokens: int, now: float) -> int | None:
        """Return the tokens that were before a prompt, or ``None`` if it was not granted here."""
        granted_at, ahead = self._ahead_by_prompt.get((vm, engine, tokens), (float("-inf"), 0))
        return ahead if now - granted_at <= KEPT_SECONDS else None
