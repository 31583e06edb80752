"""A channel to one control process, over which commands ask and are answered."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Any, TypeVar

from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.ctl.settings import Target
from pimentoquay.kernel import Channel, Identity, PimentoquayError, Transport
from pimentoquay.messages.operator import (
    GetAnswer,
    GetRequest,
    Scope,
    StatusAnswer,
    StatusRequest,
)
from pimentoquay.messages.workspaces import ConfigurationRecord
from pimentoquay.transport.websocket import WebSocketTransport

__all__ = ["ControlLink", "open_link", "websocket_transport"]

ANSWER_SECONDS = 5.0

Answer = TypeVar("Answer")


def websocket_transport(target: Target) -> Transport:
    """Return the transport of an operator's program."""
    return WebSocketTransport(Identity("operator", "ctl", "", "", 0), target.key)


async def open_link(target: Target, make: Callable[[Target], Transport]) -> "ControlLink":
    """Connect to a control process; ``CtlError`` if it cannot be reached."""
    transport = make(target)
    try:
        channel = await transport.connect(target.address)
    except (OSError, PimentoquayError) as error:
        await transport.close()
        detail = f"cannot connect to {target.address}: {error}"
        raise CtlError(ExitStatus.UNREACHABLE, detail) from None
    return ControlLink(transport, channel)


class ControlLink:
    """Asks one control process."""

    def __init__(self, transport: Transport, channel: Channel) -> None:
        self._transport = transport
        self._channel = channel
        self._queries = count(1)

    @property
    def vm(self) -> str:
        """The VM that is asked."""
        return self._channel.peer.vm

    def next_query(self) -> int:
        """Return a number that the next answer will carry."""
        return next(self._queries)

    async def ask(
        self, request: Any, answer_type: type[Answer], wait: float = ANSWER_SECONDS
    ) -> Answer:
        """Return the answer to a request; ``CtlError`` if none comes within ``wait`` seconds."""
        self._channel.send(request)
        try:
            async with asyncio.timeout(wait):
                while True:
                    answer = await self._channel.receive()
                    if isinstance(answer, answer_type) and _is_answer(request, answer):
                        return answer
        except (TimeoutError, OSError, PimentoquayError) as error:
            detail = f"no answer from {self.vm}: {error or 'timeout'}"
            raise CtlError(ExitStatus.UNREACHABLE, detail) from None

    async def record_of(self, name: str) -> ConfigurationRecord | None:
        """Return a workspace in force, or ``None``."""
        answer = await self.ask(GetRequest(name, ""), GetAnswer)
        if answer.offset < 0:
            raise CtlError(ExitStatus.REFUSED, f"211 {self.vm} has no configuration yet")
        return answer.records[0] if answer.records else None

    async def records(self) -> list[ConfigurationRecord]:
        """Return every workspace in force."""
        records: list[ConfigurationRecord] = []
        while True:
            after = records[-1].name if records else ""
            answer = await self.ask(GetRequest("", after), GetAnswer)
            records += answer.records
            if not answer.has_more:
                return records

    async def status(self) -> StatusAnswer:
        """Return the state of every VM that can be reached."""
        return await self.ask(StatusRequest(self.next_query(), Scope.ALL), StatusAnswer)

    async def close(self) -> None:
        """Disconnect."""
        await self._channel.close()
        await self._transport.close()


def _is_answer(request: Any, answer: Any) -> bool:
    for key in ("query", "change_id"):
        if hasattr(answer, key) and hasattr(request, key):
            return bool(getattr(answer, key) == getattr(request, key))
    return True
