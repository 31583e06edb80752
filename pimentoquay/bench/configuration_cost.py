"""Costs of a configuration change and of a workspace: log and relay bytes, CPU time, memory.

Every change creates a workspace from the template ``print-office``, as operators do.
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

__all__ = ["configuration_slopes", "make_changes"]

WORKSPACES = 2000
"""Number of workspaces in the measured configuration."""


def make_changes(count: int) -> list[bytes]:
    """Return the encoded log records of ``count`` changes, each of which creates a workspace."""
    text = find_template("print-office").render({"name": "x", "key": "a-bearer-key"})
    sample = parse_document(text, "sample")
    return [encode(_creation(sample, number)) for number in range(count)]


def _creation(sample: Workspace, number: int) -> ConfigurationRecord:
    name = f"office-{number:05d}"
    workspace = dataclasses.replace(sample, name=name, key_hashes=(f"{number:064x}",))
    return ConfigurationRecord(f"{number:032x}", name, 0, 0, workspace, "operator")


def fold_changes(changes: list[bytes]) -> ConfigurationState:
    """Return the configuration state that results from a log of encoded changes."""
    state = ConfigurationState()
    for offset, data in enumerate(changes):
        state.fold(offset, data)
    return state


@plugin("slope", "configuration")
def configuration_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure the costs to a VM of one change and of one workspace in force."""
    changes = make_changes(WORKSPACES)
    state = fold_changes(changes)
    return (
        slope_of("size of a change on the log", "B", "change", _sizes(changes)),
        *_processing_slopes(changes, state, repeats),
        *_relay_slopes(state),
        *_full_copy_slopes(state, repeats),
        slope_of(
            "memory of a workspace in force",
            "B",
            "workspace",
            _memory_per_workspace(changes, repeats),
        ),
    )


def _sizes(changes: list[bytes]) -> list[float]:
    return [float(len(data)) for data in changes]


def _processing_slopes(
    changes: list[bytes], state: ConfigurationState, repeats: int
) -> tuple[Slope, ...]:
    parts = [encode(item) for item in entries_after(state, -1)]
    return (
        _time_per_workspace("fold a change", repeats, lambda: fold_changes(changes)),
        _time_per_workspace("take a workspace from a peer", repeats, lambda: _receive_all(parts)),
        _time_per_workspace("index a workspace at the entry", repeats, lambda: _build_view(parts)),
    )


def _time_per_workspace(name: str, repeats: int, call: Callable[[], object]) -> Slope:
    """Measure the CPU time of a call that handles all workspaces, in µs for each workspace."""
    values = []
    for _ in range(repeats):
        started = time.process_time()
        call()
        values.append((time.process_time() - started) / WORKSPACES * 1e6)
    return slope_of(name, "µs", "workspace", values)


def _receive_all(parts: list[bytes]) -> ConfigurationState | None:
    receiver, state = EntriesReceiver(), None
    for data in parts:
        state = receiver.add(state, decode(data))
    return state


def _build_view(parts: list[bytes]) -> ConfigurationView:
    view = ConfigurationView()
    for data in parts:
        view.apply(decode(data))
    return view


def _relay_slopes(state: ConfigurationState) -> tuple[Slope, ...]:
    sizes_of_one = [len(encode(item)) for item in entries_after(state, state.offset - 1)]
    sizes_of_ten = [len(encode(item)) for item in entries_after(state, state.offset - 10)]
    sizes_without_outcomes = [
        len(encode(item)) for item in entries_after(state, state.offset - 1, with_outcomes=False)
    ]
    return (
        slope_of("relay of one change to a VM", "B", "change", [float(sum(sizes_of_one))]),
        slope_of("relay of ten changes at once to a VM", "B", "change", [sum(sizes_of_ten) / 10]),
        slope_of(
            "relay of one change to an entry", "B", "change", [float(sum(sizes_without_outcomes))]
        ),
    )


def _full_copy_slopes(state: ConfigurationState, repeats: int) -> tuple[Slope, ...]:
    limit = ConfigurationSection().checkpoint_part_bytes
    full_copy_bytes = sum(len(encode(item)) for item in entries_after(state, -1))
    checkpoint = checkpoint_parts(state, "g", limit)
    return (
        slope_of(
            "whole configuration to a new VM", "B", "workspace", [full_copy_bytes / WORKSPACES]
        ),
        slope_of(
            "checkpoint on the log",
            "B",
            "workspace",
            [sum(len(part) for part in checkpoint) / WORKSPACES],
        ),
        slope_of("appends of a checkpoint", "appends", "workspace", [len(checkpoint) / WORKSPACES]),
        _time_per_workspace(
            "make a checkpoint", repeats, lambda: checkpoint_parts(state, "g", limit)
        ),
    )


def _memory_per_workspace(changes: list[bytes], repeats: int) -> list[float]:
    """Return the bytes of memory that each workspace occupies in the state, once per repeat."""
    values = []
    for _ in range(repeats):
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        state = fold_changes(changes)
        values.append((tracemalloc.get_traced_memory()[0] - before) / len(state.entry_by_name))
        tracemalloc.stop()
    return values
