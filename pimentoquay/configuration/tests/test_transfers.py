"""Transfers of several parts: concurrency limit, window size and termination."""

import asyncio
import zlib
from dataclasses import dataclass, field
from typing import Any

import pytest

from pimentoquay.configuration.packing import pack, unpack
from pimentoquay.configuration.transfers import (
    ACK_TIMEOUT_SECONDS,
    MAX_TRANSFERS,
    WINDOW_PARTS,
    Transfers,
)
from pimentoquay.messages import MAX_FRAME_BYTES, CodecError
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.configuration import CatchUpBusy, PackedEntries

pytestmark = pytest.mark.looptime(start=0)


@dataclass(eq=False)
class ChannelFake:
    """Channel that records the messages sent."""

    peer: Any = None
    unsent_bytes: int = 0
    sent: list[Any] = field(default_factory=list)

    def send(self, message: Any) -> None:
        self.sent.append(message)

    async def receive(self) -> Any:
        raise ConnectionResetError("nothing is received here")

    async def close(self) -> None:
        """Do nothing."""


def parts(count):
    """Return the messages of a transfer with ``count`` parts."""
    return [ConfigurationEntries(-1, 9, part, count, -1, 0, (), ()) for part in range(count)]


def part_numbers(channel):
    """Return the numbers of the parts sent on a channel."""
    return [unpack(item).part for item in channel.sent]


async def test_next_part_is_sent_after_an_acknowledgement():
    transfers, channel = Transfers(), ChannelFake()
    transfers.send(channel, parts(5))
    await asyncio.sleep(0.1)
    assert part_numbers(channel) == list(range(WINDOW_PARTS))
    transfers.note_part_received(channel)
    await asyncio.sleep(0.1)
    assert part_numbers(channel) == list(range(WINDOW_PARTS + 1))
    for _ in range(4):
        transfers.note_part_received(channel)
    await asyncio.sleep(0.1)
    assert part_numbers(channel) == list(range(5))
    assert len(transfers) == 0


async def test_receiver_over_the_limit_gets_a_busy_response_and_is_served_later():
    transfers = Transfers()
    channels = [ChannelFake() for _ in range(MAX_TRANSFERS + 1)]
    for channel in channels:
        transfers.send(channel, parts(3))
    await asyncio.sleep(0.1)
    assert channels[-1].sent == [CatchUpBusy(9)]
    transfers.forget_channel(channels[0])
    transfers.send(channels[-1], parts(3))
    await asyncio.sleep(0.1)
    assert len(channels[-1].sent) == 1 + WINDOW_PARTS


async def test_transfer_without_acknowledgements_is_aborted():
    transfers, channel = Transfers(), ChannelFake()
    transfers.send(channel, parts(5))
    await asyncio.sleep(ACK_TIMEOUT_SECONDS + 0.1)
    assert len(transfers) == 0
    assert len(channel.sent) == WINDOW_PARTS


async def test_push_does_not_interrupt_a_transfer_but_a_new_request_replaces_it():
    transfers, channel = Transfers(), ChannelFake()
    transfers.send(channel, parts(5))
    await asyncio.sleep(0.1)
    transfers.push(channel, parts(1))
    assert len(channel.sent) == WINDOW_PARTS
    transfers.send(channel, parts(1))
    await asyncio.sleep(0.1)
    assert len(channel.sent) == WINDOW_PARTS + 1
    assert len(transfers) == 0


def test_invalid_packed_entries_are_rejected():
    whole = pack(parts(1)[0])
    assert unpack(whole) == parts(1)[0]
    too_large = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
    for body in (b"", b"no zlib", whole.body[:-5], too_large):
        with pytest.raises(CodecError):
            unpack(PackedEntries(body))
