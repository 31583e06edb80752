"""Switches each mechanism off in turn and checks that its named test then fails."""

from pimentoquay.bench.mutations.switches import SWITCHES, Switch, switch_of

__all__ = ["SWITCHES", "Switch", "switch_of"]
