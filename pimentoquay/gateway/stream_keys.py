"""Keys of streams in messages and in the store."""

from collections.abc import Mapping

from pimentoquay.gateway.job import Job
from pimentoquay.messages.streams import StreamsBegun, VersionStreams
from pimentoquay.policy.stored_origins import OriginBatch
from pimentoquay.policy.stream_origins import KEY_BYTES, stream_key

__all__ = ["batch_message", "key_of", "keys_by_version", "streams_message"]


def key_of(job: Job) -> bytes:
    """Return the key of the stream that a request begins or takes up."""
    is_resumed = job.caller.last_event is not None and job.caller.resumes
    return stream_key(job.caller.resumes if is_resumed else job.caller.id)


def keys_by_version(message: StreamsBegun) -> dict[tuple[str, str], list[bytes]]:
    """Return the keys of the streams that a message names, by service and version."""
    found: dict[tuple[str, str], list[bytes]] = {}
    for each in message.versions:
        starts = range(0, len(each.keys) - KEY_BYTES + 1, KEY_BYTES)
        keys = [each.keys[start : start + KEY_BYTES] for start in starts]
        found.setdefault((each.service, each.software), []).extend(keys)
    return found


def streams_message(keys_of: Mapping[tuple[str, str], list[bytes]]) -> StreamsBegun:
    """Return a message that names streams by service and version."""
    return StreamsBegun(
        tuple(
            VersionStreams(service, software, b"".join(keys))
            for (service, software), keys in keys_of.items()
        )
    )


def batch_message(batch: OriginBatch) -> StreamsBegun:
    """Return a batch of streams as a message, which is also its form in the store."""
    found: dict[tuple[str, str], list[bytes]] = {}
    for each in batch.origins:
        found.setdefault((each.service, each.software), []).append(each.key)
    return streams_message(found)
