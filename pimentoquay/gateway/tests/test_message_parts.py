"""Parts of messages between gateways: bounded, in order, and nothing lost between them."""

import asyncio
import dataclasses
from collections import Counter
from typing import Any, get_origin, get_type_hints

import pytest

from pimentoquay.bench.fleet_copy_cost import (
    DESIGN_ENGINES,
    FIRST_POSITION,
    engine_record,
    engine_records,
)
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.message_parts import MAX_PART_BYTES, parts_of, pieces_of
from pimentoquay.gateway.part_sender import MAX_UNSENT_BYTES, PartSender
from pimentoquay.gateway.tests.rig import configuration, rig, until
from pimentoquay.kernel import TimerService
from pimentoquay.messages import decode, encode
from pimentoquay.messages.fleet import (
    ClearedFeature,
    CrashedRequest,
    CrashEvidence,
    EngineLimit,
    EngineRecord,
    EnginesLeaving,
    FleetCopy,
    LeavingEngine,
    LimitsNamed,
    PeerLoad,
    PeerLoads,
    VmAddress,
)
from pimentoquay.messages.pools import Bundle, ChannelAlive, Routed
from pimentoquay.messages.streams import (
    ListedVersion,
    StreamsBegun,
    VersionsListed,
    VersionStreams,
)

COUNT = 20_000
DIGEST = "5c1e07a2" * 4


def large_messages():
    """Return a message of each type that grows with the fleet or with what runs on it."""
    addresses = tuple(VmAddress(f"vm-{n}", f"vm-{n}:1", "hall", n, "") for n in range(COUNT))
    records = engine_records(500)
    starts = [(f"engine-{number}", number) for number in range(COUNT)]
    return (
        FleetCopy(4, configuration(3), records, FIRST_POSITION, addresses),
        EnginesLeaving(tuple(LeavingEngine(*each) for each in starts)),
        LimitsNamed(tuple(EngineLimit(*each, 2.0, 0.1) for each in starts)),
        PeerLoads(tuple(PeerLoad(*each, 1, bytes(50)) for each in starts)),
        Bundle(tuple(name.encode() * 4 for name, _ in starts)),
        CrashEvidence(
            tuple(CrashedRequest(*starts[n // 4], (f"{DIGEST}{n}",)) for n in range(COUNT)),
            tuple(ClearedFeature(*each, DIGEST) for each in starts),
        ),
        StreamsBegun(
            tuple(VersionStreams("llm", f"v{n}", bytes(8 * COUNT * n)) for n in range(1, 5))
        ),
        VersionsListed(tuple(ListedVersion(each, f"v{n}", 0.5) for each, n in starts), True),
    )


LARGE = large_messages()


def content(messages):
    """Return how often each item is in messages; keys of streams count one by one."""
    found: Counter[Any] = Counter()
    for message in messages:
        for field in dataclasses.fields(message):
            value = getattr(message, field.name)
            for item in value if isinstance(value, tuple) else ():
                if isinstance(item, VersionStreams):
                    found[item.service, item.software] += len(item.keys) // 8
                    assert len(item.keys) % 8 == 0
                else:
                    found[item] += 1
    return found


@pytest.mark.parametrize("message", LARGE, ids=lambda each: type(each).__name__)
def test_parts_are_bounded_and_hold_everything_once(message):
    parts = parts_of(message)
    assert len(parts) > 1
    assert {type(each) for each in parts} == {type(message)}
    assert content(parts) == content([message])
    for part in parts:
        frame = encode(part)
        assert len(frame) <= MAX_PART_BYTES
        assert decode(frame) == part
        assert parts_of(part) == (part,)


MAX_ITEMS_OF_PIECE = {EnginesLeaving: 4096, FleetCopy: 256, PeerLoads: 256}
"""Maximum number of items of a piece, or else 32."""


@pytest.mark.parametrize("message", LARGE, ids=lambda each: type(each).__name__)
def test_pieces_have_few_items_and_hold_everything_once(message):
    pieces = pieces_of(message)
    assert {type(each) for each in pieces} == {type(message)}
    assert content(pieces) == content([message])
    for piece in pieces:
        items = [each for each in vars(piece).values() if isinstance(each, tuple)]
        assert sum(map(len, items)) <= MAX_ITEMS_OF_PIECE.get(type(message), 32)
        assert pieces_of(piece) == (piece,)


@pytest.mark.parametrize("message", [FleetCopy(-1, b"", (), 7, ()), EnginesLeaving(()), LARGE[4]])
def test_a_short_message_is_sent_as_it_is(message):
    short = (
        dataclasses.replace(message, items=message.items[:3]) if message is LARGE[4] else message
    )
    assert parts_of(short)[0] is short


async def test_every_type_that_holds_a_list_is_sent_in_parts():
    """A type that is added later needs its parts as well."""
    async with rig() as env:
        types = [
            each
            for each in env.gateway_by_vm["vm-1"].node.bus._inboxes_by_type
            if each.__module__.startswith("pimentoquay.messages.")
        ]
    lists = {
        each for each in types if any(get_origin(h) is tuple for h in get_type_hints(each).values())
    }
    assert FleetCopy in lists and Routed not in lists
    assert lists <= set(parts_of.registry)


def test_only_the_last_part_says_that_a_list_is_complete():
    *copies, last_copy = parts_of(LARGE[0])
    assert [each.engines_position for each in copies] == [-1] * len(copies)
    assert last_copy.engines_position == FIRST_POSITION
    assert [bool(each.configuration) for each in (*copies, last_copy)].count(True) == 1
    *versions, last_versions = parts_of(LARGE[-1])
    assert not any(each.is_complete for each in versions)
    assert last_versions.is_complete


def test_what_cleared_requests_goes_before_crashes_and_each_crash_is_whole():
    parts = parts_of(LARGE[5])
    cleared = [bool(each.cleared) for each in parts]
    assert cleared == sorted(cleared, reverse=True)
    crashes = [{(each.engine, each.incarnation) for each in part.crashed} for part in parts]
    assert sum(map(len, crashes)) == len(set.union(*crashes))


class Recorder:
    """Channel that keeps what is sent."""

    def __init__(self):
        self.sent = []
        self.unsent_bytes = 0

    def send(self, message):
        self.sent.append(message)


def recorder() -> Any:
    return Recorder()


async def test_what_is_new_between_the_parts_follows_them_and_heartbeats_do_not_wait():
    """A change that says the list is complete, sent between the parts, made a peer ready early."""
    sender, channel, late = PartSender(TimerService()), recorder(), recorder()
    copy = FleetCopy(-1, b"", engine_records(DESIGN_ENGINES), FIRST_POSITION, ())
    change = FleetCopy(
        -1, b"", (EngineRecord("i-adapter-1", FIRST_POSITION * 2, b""),), FIRST_POSITION * 2, ()
    )
    sender.send((channel,), copy)
    sender.send((channel, late), change)
    sender.send((channel,), ChannelAlive())
    assert [type(each) for each in channel.sent] == [FleetCopy, ChannelAlive]
    await until(lambda: len(channel.sent) == len(parts_of(copy)) + 2, "all sent")
    channel.sent.remove(ChannelAlive())
    assert tuple(channel.sent) == (*parts_of(copy), change)
    assert late.sent == [change]


async def test_parts_wait_for_a_slow_peer_and_end_with_its_channel():
    sender, slow, quick = PartSender(TimerService()), recorder(), recorder()
    copy = FleetCopy(-1, b"", engine_records(DESIGN_ENGINES), FIRST_POSITION, ())
    slow.unsent_bytes = MAX_UNSENT_BYTES + 1
    sender.send((slow, quick), copy)
    await until(lambda: len(quick.sent) == len(parts_of(copy)), "sent to the quick one")
    assert len(slow.sent) == 1
    slow.unsent_bytes = 0
    for _ in iter(lambda: len(slow.sent), 3):
        await asyncio.sleep(0)
    sender.close(slow, None)
    await asyncio.sleep(0.1)
    assert tuple(slow.sent) == parts_of(copy)[:3]


async def test_parts_go_on_over_the_other_channel_to_a_peer():
    """Two gateways that start dial each other, and one of their channels is closed at once."""
    sender, first, second = PartSender(TimerService()), recorder(), recorder()
    copy = FleetCopy(-1, b"", engine_records(DESIGN_ENGINES), FIRST_POSITION, ())
    sender.send((first,), copy)
    sender.close(first, second)
    await until(lambda: len(second.sent) == len(parts_of(copy)) - 1, "sent")
    assert (*first.sent, *second.sent) == parts_of(copy)


def test_parts_that_arrive_late_or_twice_change_nothing():
    fleet = Fleet(lambda: 0.0)
    parts = parts_of(FleetCopy(-1, b"", engine_records(DESIGN_ENGINES), FIRST_POSITION, ()))
    newer = dataclasses.replace(engine_record(0, 2, state="draining"), position=FIRST_POSITION * 2)
    fleet.apply_engine_records((newer,))
    for part in (*parts, *parts[:3]):
        fleet.apply_engine_records(part.engines)
    assert len(fleet.engines()) == DESIGN_ENGINES
    assert next(each for each in fleet.engines() if each.id == newer.engine).is_draining
