"""Decoding of workspaces; what is invalid is left out and reported without a key."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pimentoquay.gateway.tests.rig import configuration
from pimentoquay.platform import decode_configuration
from pimentoquay.platform.fields import DecodeError
from pimentoquay.policy.workspaces import MAX_KEY_BYTES, Allowance, KeyRefusal

SOUND = {
    "name": "huka270",
    "apiKeys": ["banf-secret", "k9m6-secret"],
    "priority": 1,
    "unit": "tokens",
    "plainTokens": 200,
    "ratePerS": 146_402,
    "burst": 146_403,
}
BESIDE = {"name": "beside", "apiKeys": ["hupe-secret"]}


def table_of(*tenants):
    return decoded(configuration(tenants=list(tenants)))


def decoded(data):
    table = decode_configuration(data).workspaces
    assert table is not None
    return table


def name_of(table, key):
    workspace = table.identify(key.encode(), False).workspace
    return workspace.name if workspace is not None else None


def check_no_secret(table):
    for each in table.invalid:
        assert "secret" not in each.error + each.source
        assert (each.error + each.source).encode() and len(each.error) < 500


def test_a_workspace_is_decoded_with_its_allowance():
    table = table_of(SOUND)
    workspace = table.workspace_by_name["huka270"]
    assert workspace.priority == 1
    assert workspace.allowance == Allowance(146_402.0, 146_403.0, True, 200.0)
    assert name_of(table, "k9m6-secret") == name_of(table, "banf-secret") == "huka270"
    assert table.key_count == 2 and table.invalid == ()


def test_a_configuration_without_workspaces_has_no_table():
    assert decode_configuration(configuration()).workspaces is None


@pytest.mark.parametrize("changes", [{"ratePerS": 0}, {"ratePerS": None}, {"ratePerS": 0.0}])
def test_no_rate_means_no_limit(changes):
    assert table_of(SOUND | changes).workspace_by_name["huka270"].allowance is None


def test_fields_may_be_missing_or_null():
    table = table_of({"name": "a"}, {"name": "b", "apiKeys": None, "priority": None, "unit": None})
    assert table.workspace_by_name.keys() == {"a", "b"} and table.invalid == ()
    assert all(each.priority is None for each in table.workspace_by_name.values())


@pytest.mark.parametrize("unit", [None, "requests", "Tokens", "", 7, ["tokens"], {}])
def test_any_other_unit_counts_requests(unit):
    allowance = table_of(SOUND | {"unit": unit}).workspace_by_name["huka270"].allowance
    assert allowance.units(5000) == 1.0


def test_the_burst_is_that_of_a_second_if_none_is_stated():
    item = {name: value for name, value in SOUND.items() if name != "burst"}
    assert table_of(item).workspace_by_name["huka270"].allowance.burst == 146_402.0


@pytest.mark.parametrize(("rate", "burst"), [(0.1, 1.0), (1, 1.0), (7.5, 7.5)])
def test_a_burst_that_is_not_stated_lets_one_request_run(rate, burst):
    """With a burst of 0.1 requests, each would be refused for ever."""
    allowance = table_of({"name": "a", "ratePerS": rate}).workspace_by_name["a"].allowance
    assert allowance == Allowance(rate, burst)


@pytest.mark.parametrize("wrong", [None, "banf-secret", 7, 1.5, True, {"a": SOUND}])
def test_a_list_of_a_wrong_type_refuses_the_configuration(wrong):
    with pytest.raises(DecodeError) as caught:
        decode_configuration(configuration(tenants=wrong))
    assert "secret" not in str(caught.value)


WRONG_WORKSPACES = {
    "a key": "banf-secret",
    "null": None,
    "a number": 7,
    "a list": [SOUND],
    "empty": {},
    "no name": {name: value for name, value in SOUND.items() if name != "name"},
} | {
    f"{field} = {str(value)[:20]!r}": SOUND | {field: value}
    for field, values in {
        "name": (None, "", 7, ["a"], " a", "a ", "a\r\nPimentoquay-Tenant: b", "a\x00b", "\ud83d"),
        "apiKeys": ("banf-secret", {"banf-secret": 1}, 7, True),
        "priority": ("1", -1, 1.5, True, [1], 2**70),
        "ratePerS": ("5", -1, -0.5, True, 10**30, [], 2**63),
        "burst": ("5", -1, True, 10**30),
        "plainTokens": ("5", -1, True, 10**30),
    }.items()
    for value in values
}


@pytest.mark.parametrize("name", WRONG_WORKSPACES)
def test_an_invalid_workspace_is_left_out_with_its_keys_and_others_hold(name):
    table = table_of(BESIDE, WRONG_WORKSPACES[name], SOUND | {"name": "w", "apiKeys": ["w"]})
    assert table.workspace_by_name.keys() == {"beside", "w"}
    assert (name_of(table, "hupe-secret"), name_of(table, "w")) == ("beside", "w")
    assert table.identify(b"banf-secret", False).refusal is KeyRefusal.UNKNOWN
    assert len(table.invalid) == 1 and table.invalid[0].source.startswith("1")
    check_no_secret(table)


@pytest.mark.parametrize("literal", ["1e400", "-1e400", "NaN", "Infinity", "-Infinity"])
@pytest.mark.parametrize("field", ["ratePerS", "burst", "plainTokens", "priority"])
def test_a_number_that_is_none_leaves_its_workspace_out(field, literal):
    data = configuration(tenants=[SOUND | {field: "@"}, BESIDE]).replace(b'"@"', literal.encode())
    assert decoded(data).workspace_by_name.keys() == {"beside"}


WRONG_KEYS = {
    "a number": 7,
    "null": None,
    "a list": ["secret"],
    "empty": "",
    "long": "secret" * 11_000,
    "one byte too long": "s" * (MAX_KEY_BYTES + 1),
    "no encoding": "secret\ud83d",
    "a line break": "secret\r\nX: y",
    "a zero byte": "secret\x00",
    "a space at its end": "secret ",
    "a tab at its start": "\tsecret",
}


@pytest.mark.parametrize("name", WRONG_KEYS)
def test_an_invalid_key_is_left_out_and_the_others_of_its_workspace_hold(name):
    table = table_of(SOUND | {"apiKeys": ["banf-secret", WRONG_KEYS[name], "k9m6-secret"]}, BESIDE)
    assert name_of(table, "banf-secret") == name_of(table, "k9m6-secret") == "huka270"
    assert table.key_count == 3 and len(table.invalid) == 1
    check_no_secret(table)


@pytest.mark.parametrize(
    "key", ["s" * MAX_KEY_BYTES, "schlüssel", "a b\tc", '"quoted"', "\u00a0x", "🔑", "a,b", "k\x80"]
)
def test_a_key_of_any_other_text_is_compared_in_utf_8(key):
    assert name_of(table_of(SOUND | {"apiKeys": [key]}), key) == "huka270"


def test_a_key_of_two_workspaces_is_reported_without_being_named():
    table = table_of(SOUND, BESIDE | {"apiKeys": ["banf-secret", "hupe-secret"]})
    assert table.identify(b"banf-secret", False).refusal is KeyRefusal.SHARED
    assert name_of(table, "hupe-secret") == "beside"
    assert len(table.invalid) == 1
    check_no_secret(table)


texts = st.text(st.characters(), max_size=8)
values = st.none() | st.booleans() | st.integers() | st.floats() | texts | st.lists(texts)
entries = st.dictionaries(st.sampled_from(sorted(SOUND)), values) | values


@seed(1)
@settings(deadline=None, max_examples=300)
@given(st.lists(entries, max_size=4))
def test_no_list_of_workspaces_ends_the_decoder(tenants):
    data = json.dumps(json.loads(configuration()) | {"tenants": tenants}).encode()
    for name, workspace in decoded(data).workspace_by_name.items():
        assert name.encode() and (workspace.priority or 0) >= 0
        if workspace.allowance is not None:
            assert workspace.allowance.per_second > 0 and workspace.allowance.burst >= 0
