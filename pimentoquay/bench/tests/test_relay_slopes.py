import asyncio

import pytest

from pimentoquay.bench.slopes import held, relay, reports, timeline
from pimentoquay.kernel import LoopClock


def test_every_slope_is_measured(monkeypatch):
    monkeypatch.setattr(relay, "TOKENS", 50)
    monkeypatch.setattr(relay, "SHORT_REQUESTS", 2)
    names = [slope.name for slope in relay.relay_slopes(1)]
    assert names[:3] == ["relay to the caller", "relay from the engine", "relay, both sides"]


@pytest.mark.parametrize("tokens", [1, 50])
def test_request_adds_six_timeline_events_and_tokens_add_none(tokens):
    async def count():
        counting = timeline.CountingTimeLine(LoopClock(), "vm", "entry")
        await relay.time_requests(relay.PreparedAnswerEngine(tokens), 2, counting)
        return counting.count

    # ``time_requests`` sends a third request, which is not timed but whose events are counted.
    assert asyncio.run(count()) == 3 * 6


def test_time_line_reports_and_held_requests_are_measured(monkeypatch):
    monkeypatch.setattr(timeline, "SHORT_REQUESTS", 2)
    monkeypatch.setattr(timeline, "PAIRS", 1)
    monkeypatch.setattr(held, "HELD", 3)
    slopes = (*timeline.timeline_slopes(1), *reports.report_slopes(1), *held.held_slopes(1))
    assert all(slope.median > 0 for slope in slopes)
