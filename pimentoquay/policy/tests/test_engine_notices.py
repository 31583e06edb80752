import pytest

from pimentoquay.policy.engine_notices import (
    IN_TRANSIT_SECONDS,
    LEAVING_RETENTION_SECONDS,
    MAX_PAUSE_SECONDS,
    EngineNotices,
    EngineStart,
)

ENGINE = EngineStart("dec-1", 5)


def test_a_leaving_notice_holds_for_that_start_only_and_is_new_once():
    notices = EngineNotices()
    assert notices.record_leaving((ENGINE,), 0.0) == (ENGINE,)
    assert notices.record_leaving((ENGINE,), 1.0) == ()
    assert not notices.accepts_work(ENGINE, 1.0)
    assert notices.accepts_work(EngineStart("dec-1", 6), 1.0)


def test_old_notices_are_dropped():
    notices = EngineNotices()
    notices.record_leaving((ENGINE,), 0.0)
    notices.record_leaving((), LEAVING_RETENTION_SECONDS + 1.0)
    assert notices.leaving == ()


def test_requests_under_way_are_sent_for_a_short_time_and_then_none_until_the_end():
    """At most two requests may arrive from half a second after the notice on."""
    notices = EngineNotices()
    notices.record_pause(ENGINE, 3.0, 10.0)
    assert notices.may_send(ENGINE, 10.1)
    sent = [notices.may_send(ENGINE, 10.5 + number * 0.1) for number in range(25)]
    assert not any(sent)
    assert notices.sends_withheld == 25
    assert IN_TRANSIT_SECONDS < 0.5
    assert notices.may_send(ENGINE, 13.0)


def test_a_second_notice_extends_the_pause_without_a_new_grace_and_never_shortens_it():
    notices = EngineNotices()
    notices.record_pause(ENGINE, 3.0, 10.0)
    notices.record_pause(ENGINE, 1.0, 11.0)
    assert notices.pause_seconds(ENGINE, 12.0) == pytest.approx(1.0)
    notices.record_pause(ENGINE, 4.0, 12.0)
    assert not notices.may_send(ENGINE, 12.1)
    assert notices.pause_seconds(ENGINE, 15.0) == pytest.approx(1.0)


@pytest.mark.parametrize("seconds", [86_400.0, float("inf")])
def test_a_pause_of_a_day_is_bounded(seconds):
    notices = EngineNotices()
    notices.record_pause(ENGINE, seconds, 0.0)
    assert notices.pause_seconds(ENGINE, 0.0) == MAX_PAUSE_SECONDS


@pytest.mark.parametrize("seconds", [-1.0, float("nan")])
def test_an_invalid_pause_is_an_error_that_names_it(seconds):
    with pytest.raises(ValueError, match=str(seconds)):
        EngineNotices().record_pause(ENGINE, seconds, 0.0)
