"""Control-process part that allows at most one run for each idempotency key.

Any VM may decide a claim, and the result is safe because the order of claims on the log decides.
Sending claims to the owner from ``owner_vm_of_key`` batches them into fewer appends.
"""

import asyncio
from functools import singledispatchmethod
from typing import Any

from pimentoquay.kernel import Channel, Envelope, Node, ResultCode, plugin
from pimentoquay.messages.orders import (
    KeyClaim,
    KeyClaimAnswer,
    KeyClaimRecord,
    KeyOutcome,
    KeyOutcomeRecord,
)
from pimentoquay.orders.key_bucket import KeyBucket
from pimentoquay.orders.keys import bucket_of_key, key_digest, key_stream
from pimentoquay.orders.settings import OnceOnlySection
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["OnceOnlyPart"]


@plugin("control-part", "once-only")
class OnceOnlyPart:
    """Answers ``KeyClaim`` messages and records ``KeyOutcome`` messages.

    Parameters
    ----------
    node
        The control process.
    peers
        Its channels to other processes.
    ports
        Its clients of platform services.
    section
        The ``[once_only]`` settings.
    """

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: OnceOnlySection) -> None:
        self._node = node
        self._log = ports.log
        self._section = section
        self._bucket_by_number: dict[int, KeyBucket] = {}
        self._group: asyncio.TaskGroup | None = None
        self.inbox: asyncio.Queue[Envelope] = node.bus.subscribe(KeyClaim, KeyOutcome)

    async def run(self) -> None:
        """Handle claims and outcomes until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            while True:
                envelope = await self.inbox.get()
                self._handle(envelope.message, envelope.channel)

    def _bucket(self, workspace: str, key: str) -> KeyBucket:
        number = bucket_of_key(workspace, key)
        bucket = self._bucket_by_number.get(number)
        if bucket is None:
            bucket = KeyBucket(self._node, self._log, key_stream(number), self._section)
            self._bucket_by_number[number] = bucket
            assert self._group is not None
            self._group.create_task(bucket.run())
        return bucket

    @singledispatchmethod
    def _handle(self, message: Any, channel: Channel | None) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_handle.register
    def _(self, message: KeyClaim, channel: Channel | None) -> None:
        if channel is None:
            return

        def answer(code: ResultCode) -> None:
            self._node.timeline.record(
                "key-claim", message.request_id, message.workspace, code.name
            )
            channel.send(KeyClaimAnswer(message.claim_id, code))

        record = KeyClaimRecord(key_digest(message.workspace, message.key), message.claim_id)
        self._bucket(message.workspace, message.key).claim(record, answer)

    @_handle.register
    def _(self, message: KeyOutcome, channel: Channel | None) -> None:
        digest = key_digest(message.workspace, message.key)
        record = KeyOutcomeRecord(digest, message.claim_id, message.code)
        self._bucket(message.workspace, message.key).record_outcome(record)
