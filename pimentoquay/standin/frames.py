"""Server-sent event frames of streamed completions, in the format of the OpenAI API.

The bytes around a token are encoded once per stream, so that a frame needs only a concatenation.
"""

import json

__all__ = ["FrameBuilder"]

_DONE = b"data: [DONE]\n\n"


class FrameBuilder:
    """Builder of the frames of one answer.

    Parameters
    ----------
    request_id
        Request id of the caller, from which the answer's id is derived.
    model
        Name of the model.
    chat
        Whether the answer is a chat completion rather than a text completion.
    created
        Time at which the answer starts, in whole seconds.
    """

    def __init__(self, request_id: str, model: str, chat: bool, created: int) -> None:
        self._chat = chat
        kind = "chat.completion.chunk" if chat else "text_completion"
        head = {
            "id": ("chatcmpl-" if chat else "cmpl-") + request_id,
            "object": kind,
            "created": created,
            "model": model,
        }
        start = b"data: " + json.dumps(head)[:-1].encode() + b', "choices": [{"index": 0, '
        field = b'"delta": {"content": ' if chat else b'"text": '
        self._chunk_start = start
        self._token_prefix = start + field
        self._token_suffix = (
            b'}, "finish_reason": null}]}\n\n' if chat else b', "finish_reason": null}]}\n\n'
        )

    def tokens(self, tokens: tuple[str, ...], first: int, end: int) -> bytes:
        """Return the frames of the tokens from position ``first`` up to ``end``."""
        frames = []
        for index in range(first, end):
            text = json.dumps(tokens[index]).encode()
            frames.append(self._token_prefix + text + self._role_field(index) + self._token_suffix)
        return b"".join(frames)

    def end(self, finish_reason: str) -> bytes:
        """Return the frames that end the answer."""
        content = b'"delta": {}' if self._chat else b'"text": ""'
        reason = json.dumps(finish_reason).encode()
        return self._chunk_start + content + b', "finish_reason": ' + reason + b"}]}\n\n" + _DONE

    def _role_field(self, index: int) -> bytes:
        return b', "role": "assistant"' if self._chat and index == 0 else b""
