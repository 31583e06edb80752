"""Messages between gateways about the speed of engines (numbers 164 and 166).

They are sent inside ``Routed``, whose receiver ignores messages that it does not know.
"""

from pimentoquay.messages.codec import message
from pimentoquay.messages.pools import PoolKey

__all__ = ["PausesMeasured", "PrefillsMeasured"]


@message(164)
class PrefillsMeasured:
    """Fastest prefill that the sender has seen lately at one start of an engine.

    ``tokens`` is the length of the prompt in a message to the coordinator of the pool, which knows
    what was before it in the engine's queue. In a full mesh, it is the number of tokens that the
    engine has read in ``seconds``.
    """

    pool: PoolKey
    engine: str
    incarnation: int
    tokens: int
    seconds: float


@message(166)
class PausesMeasured:
    """Time of the sender's streams at one start of an engine in the last second, in seconds.

    ``late_seconds`` is the part of it in pauses between two events that were longer than allowed.
    """

    pool: PoolKey
    engine: str
    incarnation: int
    seconds: float
    late_seconds: float
