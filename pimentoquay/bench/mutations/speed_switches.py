"""Mechanisms that place by the speed of engines, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["SPEED_SWITCHES"]

_SPEEDS = "pimentoquay/policy/tests/test_engine_speeds.py::"
_GATEWAYS = "pimentoquay/gateway/tests/test_prefill_speeds.py::"

SPEED_SWITCHES = (
    Switch(
        "prefill engines by expected time",
        "pimentoquay.policy.engine_speeds:EngineSpeeds.factor",
        return_constant(1.0),
        _SPEEDS + "test_prompts_are_done_sooner_by_expected_time_than_by_queued_tokens[1]",
    ),
    Switch(
        "evidence of one engine is bounded",
        "pimentoquay.policy.engine_speeds:MAX_FASTER",
        lambda original: 1000.0,
        _SPEEDS + "test_an_engine_that_seems_a_thousand_times_as_fast_gets_no_more_than_"
        "three_times_a_share",
    ),
    Switch(
        "speeds return to the median",
        "pimentoquay.policy.engine_speeds:HALF_LIFE_SECONDS",
        lambda original: 1e9,
        _SPEEDS + "test_speeds_that_were_not_measured_for_long_return_to_the_median",
    ),
    Switch(
        "ties between prefill engines differ by gateway",
        "pimentoquay.policy.prefill_choice:sort_by_preference",
        lambda original: lambda *args, **kwargs: original(*args),
        _SPEEDS + "test_idle_engines_of_equal_speed_are_not_all_used_in_the_order_of_their_ids"
        "[False]",
    ),
    Switch(
        "speeds told to other gateways",
        "pimentoquay.gateway.prefill_speeds:PrefillSpeeds._report",
        return_constant(None),
        _GATEWAYS + "test_gateways_of_a_full_mesh_tell_each_other_what_they_measured",
    ),
    Switch(
        "slow decode engines are used last",
        "pimentoquay.policy.decode_pauses:DecodePauses.keeps",
        return_constant(True),
        "pimentoquay/policy/tests/test_decode_pauses.py::"
        "test_engines_that_make_streams_late_are_used_after_the_others[one_slow_engine-0.5]",
    ),
    Switch(
        "pauses told to other gateways",
        "pimentoquay.gateway.pause_reports:PauseReports.record",
        return_constant(None),
        "pimentoquay/gateway/tests/test_decode_pauses.py::"
        "test_a_peer_of_a_full_mesh_uses_an_engine_last_that_is_slow_for_others",
    ),
    Switch(
        "time-out of a prefill follows its queue",
        "pimentoquay.gateway.prefills:prefill_timeout",
        return_constant(1.0),
        _GATEWAYS + "test_a_prompt_in_a_long_queue_of_a_working_engine_is_sent_once",
    ),
    Switch(
        "time-out of a prefill grows with its queue",
        "pimentoquay.policy.prefill_timeout:EXPECTED_FACTOR",
        lambda original: 0.0,
        "pimentoquay/policy/tests/test_prefill_timeout.py::"
        "test_prompts_that_wait_for_a_second_at_working_engines_are_not_sent_again",
    ),
)
