"""One mechanism that can be switched off."""

from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from typing import Any

__all__ = ["Switch"]


@dataclass(frozen=True)
class Switch:
    """Mechanism that can be switched off.

    Parameters
    ----------
    name : str
        Name of the mechanism on the command line.
    target : str
        Function or method to be replaced, as ``module:function`` or ``module:Class.method``.
    make_replacement : callable
        Function that takes the original function and returns its replacement.
    test : str
        Pytest node id of the test that has to fail without the mechanism.
    """

    name: str
    target: str
    make_replacement: Callable[[Any], Any]
    test: str

    def turn_off(self) -> None:
        """Replace the mechanism in this process; it cannot be restored."""
        owner, attribute = self.find()
        setattr(owner, attribute, self.make_replacement(getattr(owner, attribute)))

    def find(self) -> tuple[Any, str]:
        """Return what holds the mechanism, and its name there; ``AttributeError`` if none does."""
        module, _, path = self.target.partition(":")
        owner: Any = import_module(module)
        *outer, attribute = path.split(".")
        for name in outer:
            owner = getattr(owner, name)
        getattr(owner, attribute)
        return owner, attribute
