"""Mutation checks: each mechanism is switched off in turn, and its named test then has to fail."""

from pimentoquay.bench.mutations.switches import SWITCHES, Switch, switch_of

__all__ = ["SWITCHES", "Switch", "switch_of"]
