"""Operator request to start with an empty configuration after the previous one was lost."""

from pimentoquay.configuration.checkpoint_writer import CheckpointWriter
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.replica import ConfigurationReplica
from pimentoquay.kernel import Channel, Node, PimentoquayError, ResultCode
from pimentoquay.messages.operator import BeginAnewAnswer, BeginAnewRequest

__all__ = ["answer_recover"]


async def answer_recover(
    node: Node,
    replica: ConfigurationReplica,
    writer: CheckpointWriter,
    request: BeginAnewRequest,
    channel: Channel,
) -> None:
    """Write an empty configuration to the log and send the result to the operator.

    The request is rejected if the log or any reachable peer still holds a configuration.

    Parameters
    ----------
    node
        The control process.
    replica
        This VM's copy of the configuration.
    writer
        Writes the empty configuration as a checkpoint.
    request
        The operator's request.
    channel
        The channel that the answer is sent on.
    """
    log_end_if_lost = replica.log_end_if_lost
    if log_end_if_lost is None:
        detail = "there is a configuration, or the log has not been read to its end"
        answer = BeginAnewAnswer(request.query, ResultCode.CONFIG_CONFLICT, detail)
    else:
        answer = await _write_empty(node, writer, request.query, log_end_if_lost)
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
