"""Responses to operators' requests for the timeline events of this process."""

from pimentoquay.kernel import Node
from pimentoquay.messages.operator import TimelineEvent, TimelineEvents, TimelineRequest

__all__ = ["MAX_ANSWERED_EVENTS", "TimelineResponder", "own_events"]

MAX_ANSWERED_EVENTS = 5000
"""Maximum number of events in one response; older events are left out."""


def own_events(node: Node, request: TimelineRequest) -> tuple[TimelineEvent, ...]:
    """Return the retained events of this process that match a request, oldest first.

    An event's request id matches with and without its prefix ``workspace/``.
    """
    events = node.timeline.events("", request.workspace)
    found = [
        TimelineEvent(
            event.stamp.wall_us,
            event.stamp.count,
            event.vm,
            event.process,
            event.kind,
            event.request_id,
            event.workspace,
            event.detail,
        )
        for event in events
        if event.stamp.wall_us >= request.since_us
        and _matches_request_id(event.request_id, request.request_id)
    ]
    return tuple(found[-MAX_ANSWERED_EVENTS:])


def _matches_request_id(request_id: str, wanted: str) -> bool:
    return not wanted or request_id == wanted or request_id.endswith(f"/{wanted}")


class TimelineResponder:
    """Part of an entry process that responds to ``TimelineRequest`` messages."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self.inbox = node.bus.subscribe(TimelineRequest)

    async def run(self) -> None:
        """Respond to requests until cancelled."""
        while True:
            envelope = await self.inbox.get()
            if envelope.channel is not None:
                events = own_events(self._node, envelope.message)
                envelope.channel.send(TimelineEvents(envelope.message.query, events))
