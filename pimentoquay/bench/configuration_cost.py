"""Slopes of the configuration: folding, relaying and holding workspaces.

A change is one of a workspace made from the ``print-office`` template, as operators publish it.
"""

import dataclasses
import time
import tracemalloc
from collections.abc import Callable

from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.configuration.checkpoint import checkpoint_parts
from pimentoquay.configuration.documents import parse_document
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.relay import EntriesReceiver, entries_after
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.configuration.templates import find_template
from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.kernel import plugin
from pimentoquay.messages import decode, encode
from pimentoquay.messages.workspaces import ConfigurationRecord, Workspace

__all__ = ["changes_of", "configuration_slopes"]

WORKSPACES = 2000
"""How many workspaces one sample holds."""


def changes_of(count: int) -> list[bytes]:
    """Return encoded changes that create ``count`` workspaces, one log record each."""
    text = find_template("print-office").render({"name": "x", "key": "a-bearer-key"})
    sample = parse_document(text, "sample")
    return [encode(_creation(sample, number)) for number in range(count)]


def _creation(sample: Workspace, number: int) -> ConfigurationRecord:
    name = f"office-{number:05d}"
    workspace = dataclasses.replace(sample, name=name, key_hashes=(f"{number:064x}",))
    return ConfigurationRecord(f"{number:032x}", name, 0, 0, workspace, "operator")


def folded(changes: list[bytes]) -> ConfigurationState:
    """Return the state after changes."""
    state = ConfigurationState()
    for offset, data in enumerate(changes):
        state.fold(offset, data)
    return state


@plugin("slope", "configuration")
def configuration_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure what a change and a workspace in force cost a VM."""
    changes = changes_of(WORKSPACES)
    state = folded(changes)
    return (
        slope_of("size of a change on the log", "B", "change", _sizes(changes)),
        *_time_slopes(changes, state, repeats),
        *_relay_slopes(state),
        *_whole_slopes(state, repeats),
        slope_of("memory of a workspace in force", "B", "workspace", _memory(changes, repeats)),
    )


def _sizes(changes: list[bytes]) -> list[float]:
    return [float(len(data)) for data in changes]


def _time_slopes(
    changes: list[bytes], state: ConfigurationState, repeats: int
) -> tuple[Slope, ...]:
    parts = [encode(item) for item in entries_after(state, -1)]
    return (
        _timed("fold a change", repeats, lambda: folded(changes)),
        _timed("take a workspace from a peer", repeats, lambda: _received(parts)),
        _timed("index a workspace at the entry", repeats, lambda: _viewed(parts)),
    )


def _timed(name: str, repeats: int, call: Callable[[], object]) -> Slope:
    values = []
    for _ in range(repeats):
        started = time.process_time()
        call()
        values.append((time.process_time() - started) / WORKSPACES * 1e6)
    return slope_of(name, "µs", "workspace", values)


def _received(parts: list[bytes]) -> ConfigurationState | None:
    receiver, state = EntriesReceiver(), None
    for data in parts:
        state = receiver.add(state, decode(data))
    return state


def _viewed(parts: list[bytes]) -> ConfigurationView:
    view = ConfigurationView()
    for data in parts:
        view.apply(decode(data))
    return view


def _relay_slopes(state: ConfigurationState) -> tuple[Slope, ...]:
    one = [len(encode(item)) for item in entries_after(state, state.offset - 1)]
    ten = [len(encode(item)) for item in entries_after(state, state.offset - 10)]
    bare = [
        len(encode(item)) for item in entries_after(state, state.offset - 1, with_outcomes=False)
    ]
    return (
        slope_of("relay of one change to a VM", "B", "change", [float(sum(one))]),
        slope_of("relay of ten changes at once to a VM", "B", "change", [sum(ten) / 10]),
        slope_of("relay of one change to an entry", "B", "change", [float(sum(bare))]),
    )


def _whole_slopes(state: ConfigurationState, repeats: int) -> tuple[Slope, ...]:
    limit = ConfigurationSection().checkpoint_part_bytes
    whole = sum(len(encode(item)) for item in entries_after(state, -1))
    checkpoint = checkpoint_parts(state, "g", limit)
    return (
        slope_of("whole configuration to a new VM", "B", "workspace", [whole / WORKSPACES]),
        slope_of(
            "checkpoint on the log",
            "B",
            "workspace",
            [sum(len(part) for part in checkpoint) / WORKSPACES],
        ),
        slope_of("appends of a checkpoint", "appends", "workspace", [len(checkpoint) / WORKSPACES]),
        _timed("make a checkpoint", repeats, lambda: checkpoint_parts(state, "g", limit)),
    )


def _memory(changes: list[bytes], repeats: int) -> list[float]:
    values = []
    for _ in range(repeats):
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        state = folded(changes)
        values.append((tracemalloc.get_traced_memory()[0] - before) / len(state.entry_by_name))
        tracemalloc.stop()
    return values
