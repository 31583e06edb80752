"""How a request is forwarded, and its response read.

Load pattern: the requests of a stream route are split between a model service and a plain one, and
some name no model. Failure pattern: an engine that crashes ends a response without a length inside
an event. Only a reader of events can tell that from a complete response, so the kind of the route
decides how the response is read. The service and the caller's model decide only whether memory is
reserved for it.
"""

from enum import Enum

from pimentoquay.policy.fleet import RepeatRule, Route, Service

__all__ = ["Forwarding", "forwarding_of"]


class Forwarding(Enum):
    """Ways to forward a request: as a call, or as a stream with or without reserved memory."""

    CALL = "call"
    PLAIN_STREAM = "plain stream"
    MODEL_STREAM = "model stream"


def forwarding_of(route: Route, service: Service | None, names_model: bool) -> Forwarding:
    """Return how a request is forwarded.

    Parameters
    ----------
    route, service
        The route, and the service that was chosen for the request; None if it is not configured.
    names_model
        Whether the caller states a model and token counts.

    Example
    -------
    >>> route = Route("feed", "h", "/", RepeatRule.STREAM, 14.0, 1.0, ())
    >>> forwarding_of(route, Service("feed", "/health", 100), names_model=True)
    <Forwarding.PLAIN_STREAM: 'plain stream'>
    """
    if route.repeat is not RepeatRule.STREAM:
        return Forwarding.CALL
    if service is not None and service.memory is not None and names_model:
        return Forwarding.MODEL_STREAM
    return Forwarding.PLAIN_STREAM
