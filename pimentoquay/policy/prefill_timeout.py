"""Time after which a prefill that an engine has not answered is given up.

Load pattern: bursts of more than twice the capacity, in which each prompt waits for a second in the
queue of its engine. Given up after a fixed second, such prompts were sent again to another engine
with as long a queue, while the first one still read them: the work grew when there was least
capacity for it. A prompt is therefore given the time that its queue is expected to take.

Failure pattern: an engine that is silent. It is found by the watch of the exchange, which asks
whether the engine is still reached, so the time does not have to be short for it.
"""

__all__ = ["UNSTATED_HOLD_SECONDS", "is_worth_sending", "prefill_timeout"]

MIN_TIMEOUT_SECONDS = 1.0
"""Shortest time that an engine is given, ten times the usual duration of a prefill."""

EXPECTED_FACTOR, EXPECTED_MARGIN_SECONDS = 2.0, 0.5
"""An engine is given its expected time times this factor, and this many seconds more.

Loads of other gateways are some 0.2 s old, and prompts of higher priority may go first.
"""

HOLD_MARGIN_SECONDS = 0.1
"""Part of the lifetime of a memory hold that is left to send the stream to its decode engine."""

UNSTATED_HOLD_SECONDS = 2.0
"""Lifetime of a memory hold that is assumed if the configuration states none."""

MIN_PREFILL_SECONDS = 0.05
"""Shortest time for which a prefill is sent at all."""


def prefill_timeout(expected: float | None, hold_left: float, caller_left: float) -> float:
    """Return the seconds after which a prefill is given up.

    Load pattern: queues of a second and more at all prefill engines.

    Parameters
    ----------
    expected
        Expected seconds until the prefill is done, with the prompts before it, or ``None`` if the
        queue of the engine is not known.
    hold_left
        Seconds until the engine that runs the stream releases the memory held for it.
    caller_left
        Seconds for which the caller waits.

    Example
    -------
    >>> prefill_timeout(0.1, 2.0, 10.0), prefill_timeout(0.6, 2.0, 10.0)
    (1.0, 1.7)
    >>> prefill_timeout(1.1, 2.0, 10.0), prefill_timeout(1.1, 2.0, 0.8)
    (1.9, 0.8)
    """
    bound = min(hold_left - HOLD_MARGIN_SECONDS, caller_left)
    if expected is None:
        return max(0.0, bound)
    wanted = max(MIN_TIMEOUT_SECONDS, EXPECTED_FACTOR * expected + EXPECTED_MARGIN_SECONDS)
    return max(0.0, min(wanted, bound))


def is_worth_sending(expected: float | None, timeout: float) -> bool:
    """Return whether a prompt may be sent to a prefill engine; else its decode engine reads it.

    Load pattern: queues that are longer than the memory of the streams is held. A prefill that is
    not done in time would only make them longer.

    Parameters
    ----------
    expected
        Expected seconds until the prefill is done, or ``None`` if that is not known.
    timeout
        Seconds after which it would be given up.
    """
    return timeout >= MIN_PREFILL_SECONDS and (expected is None or expected <= timeout)
