"""Workspaces of a configuration: their names, priorities and allowances."""

from dataclasses import dataclass

__all__ = ["Allowance", "Workspace"]


@dataclass(frozen=True)
class Allowance:
    """What a workspace may use, over all gateways together.

    ``per_second`` and ``burst`` are in tokens if ``counts_tokens``, else in requests. A request
    without token counts counts as ``plain_tokens`` tokens.
    """

    per_second: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: float = 0.0

    def units(self, tokens: int | None) -> float:
        """Return what a request counts as.

        Parameters
        ----------
        tokens
            Tokens of its prompt and the most of its answer, or None if it states none.

        Example
        -------
        >>> Allowance(1000.0, 1000.0, True, 200.0).units(None)
        200.0
        """
        if not self.counts_tokens:
            return 1.0
        return self.plain_tokens if tokens is None else float(tokens)


@dataclass(frozen=True)
class Workspace:
    """A workspace; ``priority`` and ``allowance`` are None if the configuration sets none.

    Priority 0 is the highest. A workspace's priority takes precedence over that of a route.
    """

    name: str
    priority: int | None = None
    allowance: Allowance | None = None
