"""Cost of messages between processes: encoding, a round trip and the memory of a channel."""

import asyncio
import resource
import time
import tracemalloc

from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call
from pimentoquay.kernel import Channel, Identity, PimentoquayError, plugin
from pimentoquay.messages import decode, encode
from pimentoquay.messages.cluster import Heartbeat
from pimentoquay.messages.placement import PlaceRequest, Urgency
from pimentoquay.transport.websocket import WebSocketTransport

__all__ = ["channel_slopes", "codec_slopes"]

PREFIX_BLOCKS = 32
"""Number of prefix-block hashes in the sample request."""

MESSAGES_PER_SAMPLE = 2000
CHANNELS = 100
KEY = b"slopes"
LISTEN = "127.0.0.1:0"


def sample_place_request() -> PlaceRequest:
    """Return a placement request of typical size."""
    prefix = tuple(range(2**60, 2**60 + PREFIX_BLOCKS))
    return PlaceRequest(
        "0123456789abcdef0123456789abcdef",
        1,
        "diag-llm@arima-hall#0",
        "rates-hall",
        "fault-log",
        Urgency.PATIENT,
        4000,
        300,
        prefix,
        1.1,
        0.055,
        64,
    )


@plugin("slope", "codec")
def codec_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure encoding, decoding and size of a placement request and a heartbeat."""
    request, heartbeat = sample_place_request(), Heartbeat("vm-1", "hue-a", 1, False, 9, 9, 9, True)
    slopes = []
    for name, item in (("placement request", request), ("heartbeat", heartbeat)):
        frame = encode(item)
        encoding = time_per_call(lambda item=item: encode(item), MESSAGES_PER_SAMPLE, repeats)
        decoding = time_per_call(lambda frame=frame: decode(frame), MESSAGES_PER_SAMPLE, repeats)
        slopes.append(slope_of(f"encode {name}", "µs", "message", encoding))
        slopes.append(slope_of(f"decode {name}", "µs", "message", decoding))
        slopes.append(slope_of(f"size of {name}", "B", "message", [float(len(frame))]))
    return tuple(slopes)


@plugin("slope", "channel")
def channel_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure a round trip over a loopback channel and a channel's memory, including both ends."""
    return asyncio.run(_channel_slopes(repeats))


async def _channel_slopes(repeats: int) -> tuple[Slope, ...]:
    server = WebSocketTransport(Identity("vm-2", "control", "r", "d", 1), KEY)
    await server.listen(LISTEN, _echo)
    address = f"127.0.0.1:{server.port}"
    client = WebSocketTransport(Identity("vm-1", "entry", "r", "d", 1), KEY)
    channel = await client.connect(address)
    times = [await _round_trips(channel) for _ in range(repeats)]
    memory = [await _memory_of_channels(client, address) for _ in range(repeats)]
    await client.close()
    await server.close()
    return (
        slope_of("round trip, both ends", "µs", "placement request", times),
        slope_of("memory of a channel, both ends", "B", "channel", memory),
    )


async def _echo(channel: Channel) -> None:
    try:
        while True:
            channel.send(await channel.receive())
    except (ConnectionError, PimentoquayError):
        return


async def _round_trips(channel: Channel) -> float:
    request = sample_place_request()
    started = time.process_time()
    for _ in range(MESSAGES_PER_SAMPLE):
        channel.send(request)
        await channel.receive()
    return (time.process_time() - started) / MESSAGES_PER_SAMPLE * 1e6


async def _memory_of_channels(client: WebSocketTransport, address: str) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    channels = [await client.connect(address) for _ in range(CHANNELS)]
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for channel in channels:
        await channel.close()
    return used / CHANNELS


def resident_megabytes() -> float:
    """Return the peak resident memory of this process in megabytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
