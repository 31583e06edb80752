"""An operator's order to go on without a configuration that is lost for good."""

from pimentoquay.configuration.checkpoint_writer import CheckpointWriter
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.keeper import Keeper
from pimentoquay.kernel import Channel, Node, PimentoquayError, ResultCode
from pimentoquay.messages.operator import BeginAnewAnswer, BeginAnewRequest

__all__ = ["answer_begin_anew"]


async def answer_begin_anew(
    node: Node,
    keeper: Keeper,
    writer: CheckpointWriter,
    request: BeginAnewRequest,
    channel: Channel,
) -> None:
    """Write an empty configuration to the log, if neither it nor a peer holds any, and answer."""
    lost_at = keeper.lost_at
    if lost_at is None:
        detail = "there is a configuration, or the log has not been read to its end"
        answer = BeginAnewAnswer(request.query, ResultCode.CONFIG_CONFLICT, detail)
    else:
        answer = await _write_empty(node, writer, request.query, lost_at)
    channel.send(answer)


async def _write_empty(
    node: Node, writer: CheckpointWriter, query: int, offset: int
) -> BeginAnewAnswer:
    try:
        await writer.write(ConfigurationState(offset))
    except PimentoquayError as error:
        return BeginAnewAnswer(query, error.code, error.detail)
    except (OSError, TimeoutError) as error:
        return BeginAnewAnswer(query, ResultCode.CONFIG_UNKNOWN, repr(error))
    node.timeline.record("configuration-begun-anew", detail=f"offset {offset}")
    return BeginAnewAnswer(query, ResultCode.CONFIG_ACCEPTED, "")
