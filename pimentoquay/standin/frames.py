"""Server-sent event frames in the form of OpenAI's streamed completions.

Everything around a token is encoded once for a stream, so that one more token costs a join.
"""

import json

__all__ = ["FrameBuilder"]

_DONE = b"data: [DONE]\n\n"


class FrameBuilder:
    """Builds the frames of one answer.

    Parameters
    ----------
    request_id
        The caller's request id, from which the answer's id is made.
    model
        The model's name.
    chat
        Whether the answer is a chat completion rather than a text completion.
    created
        The time of the answer's start in whole seconds.
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
        self._start = start
        self._before = start + field
        self._after = (
            b'}, "finish_reason": null}]}\n\n' if chat else b', "finish_reason": null}]}\n\n'
        )

    def tokens(self, tokens: tuple[str, ...], first: int, end: int) -> bytes:
        """Return the frames of the tokens from position ``first`` up to ``end``."""
        frames = []
        for index in range(first, end):
            text = json.dumps(tokens[index]).encode()
            frames.append(self._before + text + self._role(index) + self._after)
        return b"".join(frames)

    def end(self, finish_reason: str) -> bytes:
        """Return the frames that close the answer."""
        content = b'"delta": {}' if self._chat else b'"text": ""'
        reason = json.dumps(finish_reason).encode()
        return self._start + content + b', "finish_reason": ' + reason + b"}]}\n\n" + _DONE

    def _role(self, index: int) -> bytes:
        return b', "role": "assistant"' if self._chat and index == 0 else b""
