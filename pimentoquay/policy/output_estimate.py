"""How long an answer will be, from its caller's estimate and from the answers seen.

Load pattern: callers estimate the length of their answers, right at the median of all and far off
for each. An estimate far from the middle is mostly wrong in its own direction, so it is drawn
towards the lengths that were seen. The fit is a straight line between the logarithms of estimate
and length, learned by least squares from the answers that ended, and begun with a line through the
middle of what a request allows.
"""

import math

__all__ = ["OutputEstimate"]

PRIOR_WEIGHT = 10.0
"""How many answers the assumed line counts for."""

PRIOR_SLOPE = 0.5
"""How far an estimate is believed before any answer was seen: as far as the middle."""

PRIOR_SPREAD = 0.7
"""The assumed spread of the estimates' logarithms."""

RESIDUAL_SPREAD = 0.4
"""The assumed spread of the lengths' logarithms around the line."""

FORGETTING = 0.995
"""The weight that an answer keeps with each later one; the last few hundred count."""


class OutputEstimate:
    """Estimates the tokens of an answer.

    Example
    -------
    >>> estimate = OutputEstimate()
    >>> estimate.tokens(hint=1000, most=8000), estimate.tokens(hint=8000, most=8000)
    (2000, 5656)
    """

    def __init__(self) -> None:
        self._weight = PRIOR_WEIGHT
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = PRIOR_WEIGHT * PRIOR_SPREAD**2
        self._sum_xy = PRIOR_WEIGHT * PRIOR_SPREAD**2 * PRIOR_SLOPE
        self._sum_yy = self._sum_xx * PRIOR_SLOPE**2 + PRIOR_WEIGHT * RESIDUAL_SPREAD**2

    def note(self, hint: int, most: int, tokens: int) -> None:
        """Learn from an answer that ended whole; all in tokens."""
        if hint <= 0 or most <= 0 or tokens <= 0:
            return
        x, y = _centred(hint, most), _centred(tokens, most)
        self._weight = self._weight * FORGETTING + 1.0
        self._sum_x = self._sum_x * FORGETTING + x
        self._sum_y = self._sum_y * FORGETTING + y
        self._sum_xx = self._sum_xx * FORGETTING + x * x
        self._sum_xy = self._sum_xy * FORGETTING + x * y
        self._sum_yy = self._sum_yy * FORGETTING + y * y

    def tokens(self, hint: int, most: int, spreads: float = 0.0) -> int:
        """Return the expected tokens of an answer.

        Parameters
        ----------
        hint
            The caller's estimate, or zero if it gives none.
        most
            The most tokens that the answer may have.
        spreads
            How many spreads above the middle the estimate should lie; 0 is exceeded by half of
            the answers, 1 by a sixth.
        """
        mean_x, mean_y = self._sum_x / self._weight, self._sum_y / self._weight
        slope, spread = self._fit(mean_x, mean_y)
        offset = slope * (_centred(hint, most) - mean_x) if hint > 0 else 0.0
        value = most / 2 * math.exp(mean_y + offset + spreads * spread)
        return max(1, min(most, int(value)))

    def _fit(self, mean_x: float, mean_y: float) -> tuple[float, float]:
        variance = self._sum_xx / self._weight - mean_x**2
        covariance = self._sum_xy / self._weight - mean_x * mean_y
        slope = covariance / max(1e-9, variance)
        residual = self._sum_yy / self._weight - mean_y**2 - slope * covariance
        return slope, math.sqrt(max(0.0, residual))


def _centred(tokens: int, most: int) -> float:
    return math.log(max(1, tokens) / (most / 2))
