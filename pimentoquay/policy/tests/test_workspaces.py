"""Decisions by keys over a replayed load of many workspaces whose keys change."""

import random

import pytest

from pimentoquay.policy.workspaces import (
    KeyRefusal,
    Workspace,
    WorkspaceKeys,
    WorkspaceTable,
    key_digest,
)

WORKSPACES = 8500


def item(name, *keys):
    return WorkspaceKeys(Workspace(name), tuple(key_digest(key) for key in keys))


def name_by(table, key):
    workspace = table.identify(key, False).workspace
    return workspace.name if workspace is not None else None


def test_a_key_of_two_workspaces_belongs_to_neither_and_other_keys_hold():
    table = WorkspaceTable([item("a", b"1", b"2"), item("b", b"2", b"3"), item("c", b"2")])
    assert table.identify(b"2", False).refusal is KeyRefusal.SHARED
    assert name_by(table, b"1") == "a"
    assert name_by(table, b"3") == "b"
    (report,) = table.invalid
    assert report.source == "a" and report.error.endswith("b, c")


def test_a_key_that_a_workspace_states_twice_is_its_own():
    table = WorkspaceTable([item("a", b"1", b"1")])
    assert name_by(table, b"1") == "a" and table.invalid == ()


def test_of_several_workspaces_with_one_name_the_first_counts():
    """One of them would get the limits of the other."""
    table = WorkspaceTable([item("a", b"1"), item("a", b"2")])
    assert table.identify(b"1", False).workspace is table.workspace_by_name["a"]
    assert table.identify(b"2", False).refusal is KeyRefusal.UNKNOWN
    assert [each.source for each in table.invalid] == ["a"]


@pytest.mark.parametrize("key", [None, b"", b"1", b"nobody's", b"\xff" * 70_000])
def test_no_key_is_looked_at_on_a_public_route(key):
    access = WorkspaceTable([item("a", b"1")]).identify(key, True)
    assert access.workspace is None and access.refusal is None and access.is_checked


@pytest.mark.parametrize("key", [None, b""])
def test_a_missing_key_identifies_nobody_though_a_workspace_states_an_empty_one(key):
    table = WorkspaceTable([item("a", b"")])
    assert table.identify(key, False).refusal is KeyRefusal.MISSING


def test_the_table_holds_no_keys():
    """A dump of the process or a representation in a log would show them."""
    table = WorkspaceTable([item("a", b"secret-1"), item("b", b"secret-1", b"secret-2")])
    shown = repr(vars(table)) + repr(table.identify(b"secret-2", False))
    assert "secret" not in shown


@pytest.mark.parametrize("seed", range(4))
def test_a_load_over_versions_that_add_and_withdraw_keys_runs_only_under_its_own_names(seed):
    """Guards against a name of an earlier version, or of another workspace, for a key.

    Each version withdraws, adds, moves and doubles some keys of all workspaces. A hundred requests
    follow it with keys of present, past and no workspaces.
    """
    rng = random.Random(seed)
    owners = {f"key-{number}".encode(): {f"w{number % 97}"} for number in range(300)}
    ever = set(owners)
    for version in range(40):
        for key in rng.sample(sorted(ever), 20):
            names = owners.setdefault(key, set())
            change = rng.choice(("withdraw", "move", "double", "give"))
            if change in ("withdraw", "move"):
                names.clear()
            if change != "withdraw":
                names.add(f"w{rng.randrange(97)}")
        added = f"key-{version}-new".encode()
        owners[added] = {f"w{rng.randrange(97)}"}
        ever.add(added)
        keys_by_name: dict[str, list[bytes]] = {}
        for key, names in owners.items():
            for name in names:
                keys_by_name.setdefault(name, []).append(key)
        table = WorkspaceTable([item(name, *keys) for name, keys in keys_by_name.items()])
        asked = [*rng.sample(sorted(ever), 90), *(f"none-{n}".encode() for n in range(10))]
        for key in asked:
            access = table.identify(key, False)
            names = owners.get(key, set())
            if len(names) == 1:
                assert access.refusal is None and {name_by(table, key)} == names
            else:
                assert access.workspace is None
                expected = KeyRefusal.SHARED if names else KeyRefusal.UNKNOWN
                assert access.refusal is expected


class _CountedDigest(bytes):
    """A digest that counts how often it is compared."""

    compared = 0

    def __eq__(self, other):
        _CountedDigest.compared += 1
        return bytes(self) == bytes(other)

    __hash__ = bytes.__hash__


def test_a_lookup_among_8500_workspaces_compares_few_keys():
    items = [
        WorkspaceKeys(
            Workspace(f"w{number}"),
            tuple(_CountedDigest(key_digest(b"%d-%d" % (number, each))) for each in range(2)),
        )
        for number in range(WORKSPACES)
    ]
    table = WorkspaceTable(items)
    _CountedDigest.compared = 0
    for number in range(0, WORKSPACES, 85):
        assert name_by(table, b"%d-1" % number) == f"w{number}"
    assert _CountedDigest.compared <= 300
