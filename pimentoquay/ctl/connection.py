"""Connection to a control process over which commands send requests and receive answers."""

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

ANSWER_TIMEOUT_SECONDS = 5.0
"""Default timeout for an answer of the control process, in seconds."""

Answer = TypeVar("Answer")


def websocket_transport(target: Target) -> Transport:
    """Return a WebSocket transport that identifies itself as an operator."""
    return WebSocketTransport(Identity("operator", "ctl", "", "", 0), target.key)


async def open_link(target: Target, make_transport: Callable[[Target], Transport]) -> "ControlLink":
    """Connect to a control process; raise ``CtlError`` if it cannot be reached."""
    transport = make_transport(target)
    try:
        channel = await transport.connect(target.address)
    except (OSError, PimentoquayError) as error:
        await transport.close()
        detail = f"cannot connect to {target.address}: {error}"
        raise CtlError(ExitStatus.UNREACHABLE, detail) from None
    return ControlLink(transport, channel)


class ControlLink:
    """Client of a control process.

    Parameters
    ----------
    transport
        Transport that the channel was opened with.
    channel
        Channel to the control process.
    """

    def __init__(self, transport: Transport, channel: Channel) -> None:
        self._transport = transport
        self._channel = channel
        self._queries = count(1)

    @property
    def vm(self) -> str:
        """Name of the VM of the control process."""
        return self._channel.peer.vm

    def next_query_number(self) -> int:
        """Return a new query number for a request; the answer to it has the same number."""
        return next(self._queries)

    async def call(
        self, request: Any, answer_type: type[Answer], wait: float = ANSWER_TIMEOUT_SECONDS
    ) -> Answer:
        """Send a request and return its answer.

        Parameters
        ----------
        request
            Request message.
        answer_type
            Type of the answer; messages of other types are ignored.
        wait
            Timeout for the answer, in seconds.

        Raises
        ------
        CtlError
            If no answer is received in time or the channel is closed.
        """
        self._channel.send(request)
        try:
            async with asyncio.timeout(wait):
                while True:
                    answer = await self._channel.receive()
                    if isinstance(answer, answer_type) and _matches_request(request, answer):
                        return answer
        except (TimeoutError, OSError, PimentoquayError) as error:
            detail = f"no answer from {self.vm}: {error or 'timeout'}"
            raise CtlError(ExitStatus.UNREACHABLE, detail) from None

    async def find_record(self, name: str) -> ConfigurationRecord | None:
        """Return the record in force for the workspace ``name``, or ``None`` if there is none.

        Raises
        ------
        CtlError
            If the VM has no configuration yet or does not answer.
        """
        answer = await self.call(GetRequest(name, ""), GetAnswer)
        if answer.offset < 0:
            raise CtlError(ExitStatus.REFUSED, f"211 {self.vm} has no configuration yet")
        return answer.records[0] if answer.records else None

    async def records(self) -> list[ConfigurationRecord]:
        """Return the records in force, one for each workspace."""
        records: list[ConfigurationRecord] = []
        while True:
            after = records[-1].name if records else ""
            answer = await self.call(GetRequest("", after), GetAnswer)
            records += answer.records
            if not answer.has_more:
                return records

    async def status(self) -> StatusAnswer:
        """Return the status of all VMs, and the names of those that did not answer."""
        return await self.call(StatusRequest(self.next_query_number(), Scope.ALL), StatusAnswer)

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()
        await self._transport.close()


def _matches_request(request: Any, answer: Any) -> bool:
    for key in ("query", "change_id"):
        if hasattr(answer, key) and hasattr(request, key):
            return bool(getattr(answer, key) == getattr(request, key))
    return True
