"""One request as the entry sees it: what was asked, and the state machine of its life."""

from dataclasses import dataclass
from typing import Any

from transitions import Machine

from pimentoquay.kernel import ResultCode
from pimentoquay.messages.workspaces import KindSpec

__all__ = ["LifeMachine", "RequestSpec", "final_trigger", "prompt_of_messages", "token_count"]

BYTES_PER_TOKEN = 4
"""Bytes of UTF-8 text that count as one prompt token."""

STATES = (
    "received",
    "admitted",
    "prefilling",
    "transferring",
    "decoding",
    "answered",
    "refused",
    "cancelled",
    "failed",
)

_LIVE = ["received", "admitted", "prefilling", "transferring", "decoding"]

_TRANSITIONS: tuple[tuple[str, Any, str], ...] = (
    ("admit", _LIVE, "admitted"),
    ("prefill", "admitted", "prefilling"),
    ("transfer", ["admitted", "prefilling"], "transferring"),
    ("decode", ["received", "admitted", "prefilling", "transferring"], "decoding"),
    ("answer", "decoding", "answered"),
    ("refuse", _LIVE, "refused"),
    ("cancel", _LIVE, "cancelled"),
    ("fail", _LIVE, "failed"),
)


@dataclass(frozen=True)
class RequestSpec:
    """A checked request for a model.

    ``request_id`` is unique among all workspaces. ``prefix`` holds the hashes of the prompt's
    blocks. ``streaming`` tells that the caller gets each token as it comes; once the first
    has gone out, another run must give the same tokens. ``idempotency_key`` is claimed
    before a request that is not idempotent; empty means that there is none.
    """

    request_id: str
    workspace: str
    model: str
    kind: KindSpec
    prompt: str
    prompt_tokens: int
    prefix: tuple[int, ...]
    max_tokens: int
    chat: bool
    streaming: bool
    workspace_limit: int
    idempotency_key: str = ""
    workspace_weight: int = 1


class LifeMachine:
    """The one machine that every request's life runs on.

    A model needs no base class: ``adopt`` gives it the attribute ``state`` and one method for
    each trigger. The final states are ``answered``, ``refused``, ``cancelled`` and ``failed``.
    """

    def __init__(self) -> None:
        self._machine = Machine(
            model=None,
            states=list(STATES),
            initial="received",
            auto_transitions=False,
        )
        for trigger, sources, target in _TRANSITIONS:
            self._machine.add_transition(trigger, sources, target)

    def adopt(self, life: object) -> None:
        """Put a request into the state ``received``."""
        self._machine.add_model(life)

    def dismiss(self, life: object) -> None:
        """Forget a request that has ended."""
        self._machine.remove_model(life)


def final_trigger(code: ResultCode) -> str:
    """Return the trigger that ends a life with the given code."""
    if code is ResultCode.OK:
        return "answer"
    if 200 <= code < 300:
        return "refuse"
    return "cancel" if code is ResultCode.CANCELLED else "fail"


def token_count(prompt: str) -> int:
    """Return the number of tokens that a prompt counts as, at least 1."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def prompt_of_messages(messages: list[dict[str, str]]) -> str:
    """Return the prompt text of a chat: one ``role: content`` line for each message."""
    return "\n".join(f"{message['role']}: {message['content']}" for message in messages)
