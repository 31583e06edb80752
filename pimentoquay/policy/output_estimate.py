"""Prediction of the length of an answer from its caller's estimate and from earlier answers.

Load pattern: callers' estimates that are right in the median but far off for the single answer.
Very low estimates are mostly too low and very high ones too high, so the prediction is shrunk
towards the lengths of earlier answers. It is a straight line between the logarithms of estimate and
length, fitted by least squares to the answers that ended. The initial line maps an estimate of half
of the maximum length to that same length.
"""

import math

__all__ = ["OutputLengthEstimator"]

PRIOR_WEIGHT = 10.0
"""Weight of the initial line, in answers."""

PRIOR_SLOPE = 0.5
"""Slope of the initial line; 0.5 trusts the estimate and the mean length equally."""

PRIOR_DEVIATION = 0.7
"""Initial standard deviation of the logarithms of the estimates."""

RESIDUAL_DEVIATION = 0.4
"""Initial standard deviation of the logarithms of the lengths from the line."""

RETAINED_WEIGHT = 0.995
"""Factor by which each new answer reduces the weight of earlier ones.

The fit therefore reflects the last few hundred answers.
"""


class OutputLengthEstimator:
    """Predictor of the number of tokens in an answer, fitted to earlier answers.

    Load pattern: callers' estimates that are right in the median but far off for the single answer.

    Example
    -------
    >>> estimate = OutputLengthEstimator()
    >>> estimate.tokens(hint=1000, max_tokens=8000)
    2000
    >>> estimate.tokens(hint=8000, max_tokens=8000)
    5656
    """

    def __init__(self) -> None:
        self._weight = PRIOR_WEIGHT
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = PRIOR_WEIGHT * PRIOR_DEVIATION**2
        self._sum_xy = PRIOR_WEIGHT * PRIOR_DEVIATION**2 * PRIOR_SLOPE
        self._sum_yy = self._sum_xx * PRIOR_SLOPE**2 + PRIOR_WEIGHT * RESIDUAL_DEVIATION**2

    def record(self, hint: int, max_tokens: int, tokens: int) -> None:
        """Add a complete answer to the fit.

        Parameters
        ----------
        hint
            The caller's estimate in tokens; answers without one are ignored.
        max_tokens
            Maximum length of the answer in tokens.
        tokens
            Actual length of the answer in tokens.
        """
        if hint <= 0 or max_tokens <= 0 or tokens <= 0:
            return
        x, y = _log_ratio_to_half(hint, max_tokens), _log_ratio_to_half(tokens, max_tokens)
        self._weight = self._weight * RETAINED_WEIGHT + 1.0
        self._sum_x = self._sum_x * RETAINED_WEIGHT + x
        self._sum_y = self._sum_y * RETAINED_WEIGHT + y
        self._sum_xx = self._sum_xx * RETAINED_WEIGHT + x * x
        self._sum_xy = self._sum_xy * RETAINED_WEIGHT + x * y
        self._sum_yy = self._sum_yy * RETAINED_WEIGHT + y * y

    def tokens(self, hint: int, max_tokens: int, deviations: float = 0.0) -> int:
        """Return the predicted length of an answer in tokens.

        Parameters
        ----------
        hint
            The caller's estimate in tokens, or zero if it gives none.
        max_tokens
            Maximum length of the answer in tokens; at least one token is predicted if it is zero.
        deviations
            Number of standard deviations by which the result lies above the median; half of the
            answers are longer than the result for 0, a sixth for 1.
        """
        if max_tokens <= 1:
            return 1
        mean_x, mean_y = self._sum_x / self._weight, self._sum_y / self._weight
        slope, deviation = self._fit(mean_x, mean_y)
        offset = slope * (_log_ratio_to_half(hint, max_tokens) - mean_x) if hint > 0 else 0.0
        value = max_tokens / 2 * math.exp(mean_y + offset + deviations * deviation)
        return max(1, min(max_tokens, int(value)))

    def _fit(self, mean_x: float, mean_y: float) -> tuple[float, float]:
        variance = self._sum_xx / self._weight - mean_x**2
        covariance = self._sum_xy / self._weight - mean_x * mean_y
        slope = covariance / max(1e-9, variance)
        residual = self._sum_yy / self._weight - mean_y**2 - slope * covariance
        return slope, math.sqrt(max(0.0, residual))


def _log_ratio_to_half(tokens: int, max_tokens: int) -> float:
    return math.log(max(1, tokens) / (max_tokens / 2))
