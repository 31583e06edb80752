"""Mechanisms of workspaces and their keys, and the tests that have to fail without them."""

from typing import Any

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["WORKSPACE_SWITCHES"]

_NAMES = "pimentoquay/gateway/tests/test_workspaces.py::"
_KEYS = "pimentoquay/gateway/tests/test_workspace_keys.py::"
_SECRETS = "pimentoquay/gateway/tests/test_workspace_secrets.py::"
_UPDATES = "pimentoquay/gateway/tests/test_configuration_update.py::"


def decide_on_arrival(original: Any) -> Any:
    """Keep the first decision on a request, whatever the configuration says later."""

    def current(access: Any) -> Any:
        return original(access) if access._table is None else access._current

    return current


def send_undecided(original: Any) -> Any:
    """Send a request whatever the decision is as it is written."""
    return lambda job: job.access.current()


def pass_all_headers(original: Any) -> Any:
    """Build the headers of a request as if the configuration had no workspaces."""
    return lambda request, options, access: original(request, options)


def decode_at_once(original: Any) -> Any:
    """Decode all workspaces in one pass of the event loop."""

    def run(update: Any) -> None:
        while update._decoder.decode_more():
            pass
        update._on_decoded(update._decoder.result())

    return run


WORKSPACE_SWITCHES = (
    Switch(
        "keys are decided anew while a request waits",
        "pimentoquay.gateway.request_access:RequestAccess.current",
        decide_on_arrival,
        _KEYS + "test_a_waiting_stream_whose_key_is_withdrawn_gets_401_and_never_runs[/digest/a]",
    ),
    Switch(
        "keys are decided as a request is written",
        "pimentoquay.gateway.job:Job.check_send",
        send_undecided,
        _KEYS + "test_a_key_withdrawn_while_a_connection_opens_is_not_sent[/order/a]",
    ),
    Switch(
        "the workspace is named by the system alone",
        "pimentoquay.gateway.engine_link:engine_headers",
        pass_all_headers,
        _NAMES + "test_engines_get_the_name_by_the_key_whatever_the_caller_states"
        "[spoofed-/look/a]",
    ),
    Switch(
        "a key of several workspaces belongs to none",
        "pimentoquay.policy.workspaces:WorkspaceTable._withdraw_shared",
        return_constant(()),
        "pimentoquay/policy/tests/test_workspaces.py::"
        "test_a_key_of_two_workspaces_belongs_to_neither_and_other_keys_hold",
    ),
    Switch(
        "tables hold digests of keys",
        "pimentoquay.policy.workspaces:key_digest",
        lambda original: lambda key: key,
        "pimentoquay/gateway/tests/test_workspace_secrets.py::"
        "test_a_dump_of_the_table_in_force_shows_no_key",
    ),
    Switch(
        "representations of requests show no key",
        "pimentoquay.http1.request:HttpRequest.__repr__",
        lambda original: lambda request: str(vars(request)),
        _SECRETS + "test_no_representation_of_a_request_shows_its_key",
    ),
    Switch(
        "workspaces are decoded in several passes",
        "pimentoquay.gateway.configuration_update:ConfigurationUpdate.run",
        decode_at_once,
        _UPDATES + "test_8500_workspaces_are_decoded_in_many_passes",
    ),
    Switch(
        "a newer version ends the work on an older one",
        "pimentoquay.gateway.configuration_update:ConfigurationUpdate.cancel",
        return_constant(None),
        _UPDATES + "test_a_newer_version_replaces_one_that_is_being_decoded",
    ),
)
