"""Messages by which gateways tell each other where streams began (numbers 150 to 159)."""

from pimentoquay.messages.codec import message

__all__ = ["ListedVersion", "StreamsBegun", "VersionStreams", "VersionsListed"]


@message(150)
class VersionStreams:
    """Streams that began at a software version, as their keys one after the other."""

    service: str
    software: str
    keys: bytes


@message(153)
class StreamsBegun:
    """Streams and the software versions at which they began, sent to all gateways."""

    versions: tuple[VersionStreams, ...]


@message(151)
class ListedVersion:
    """A software version of a service, which was last listed ``age`` seconds ago.

    ``is_recorded`` says that the store holds it, so that gateways that start will know of it.
    """

    service: str
    software: str
    age: float
    is_recorded: bool = False


@message(152)
class VersionsListed:
    """Software versions that the sender has seen listed lately.

    ``is_complete`` says that these are all, and that the sender knows what the store holds.
    """

    versions: tuple[ListedVersion, ...]
    is_complete: bool = False
