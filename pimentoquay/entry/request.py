"""The checked content of a model request, and the state machine that it passes through."""

from dataclasses import dataclass
from typing import Any

from transitions import Machine

from pimentoquay.kernel import ResultCode
from pimentoquay.messages.workspaces import KindSpec

__all__ = [
    "RequestSpec",
    "RequestStateMachine",
    "final_trigger",
    "prompt_of_messages",
    "token_count",
]

BYTES_PER_TOKEN = 4
"""Number of bytes of UTF-8 text that count as one prompt token."""

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

_ACTIVE_STATES = ["received", "admitted", "prefilling", "transferring", "decoding"]

_TRANSITIONS: tuple[tuple[str, Any, str], ...] = (
    ("admit", _ACTIVE_STATES, "admitted"),
    ("prefill", "admitted", "prefilling"),
    ("transfer", ["admitted", "prefilling"], "transferring"),
    ("decode", ["received", "admitted", "prefilling", "transferring"], "decoding"),
    ("answer", "decoding", "answered"),
    ("refuse", _ACTIVE_STATES, "refused"),
    ("cancel", _ACTIVE_STATES, "cancelled"),
    ("fail", _ACTIVE_STATES, "failed"),
)


@dataclass(frozen=True)
class RequestSpec:
    """A checked request for a model.

    Parameters
    ----------
    request_id
        Identifier that is unique among all workspaces.
    workspace
        Name of the workspace that the request belongs to.
    model
        Name of the model.
    kind
        Kind of request, with its latency targets and limits.
    prompt
        Text of the prompt.
    prompt_tokens
        Length of the prompt in tokens.
    prefix
        Hashes of the prompt's blocks, used to find engines with a cached prefix.
    max_tokens
        Maximum length of the answer in tokens.
    chat
        Whether the answer has the format of chat completions.
    streaming
        Whether each token is sent to the caller as it arrives. Once the first token was sent,
        another run must produce the same tokens.
    workspace_limit
        Maximum number of requests of the workspace at once.
    idempotency_key
        Key to be claimed before the request runs; empty for none and for idempotent requests.
    workspace_weight
        Weight of the workspace when capacity is shared.
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


class RequestStateMachine:
    """State machine shared by all requests of an entry process.

    A registered object needs no base class: ``register`` gives it the attribute ``state`` and one
    method for each trigger. The final states are ``answered``, ``refused``, ``cancelled`` and
    ``failed``.
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

    def register(self, request: object) -> None:
        """Add a request in the state ``received``."""
        self._machine.add_model(request)

    def unregister(self, request: object) -> None:
        """Remove a request that has ended."""
        self._machine.remove_model(request)


def final_trigger(code: ResultCode) -> str:
    """Return the trigger that ends a request with the given code."""
    if code is ResultCode.OK:
        return "answer"
    if 200 <= code < 300:
        return "refuse"
    return "cancel" if code is ResultCode.CANCELLED else "fail"


def token_count(prompt: str) -> int:
    """Return the estimated length of a prompt in tokens, at least 1."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def prompt_of_messages(messages: list[dict[str, str]]) -> str:
    """Return the prompt for chat messages, with one ``role: content`` line per message."""
    return "\n".join(f"{message['role']}: {message['content']}" for message in messages)
