import json

from pimentoquay.kernel import TimeLine
from pimentoquay.kernel.logs import configure_logs, log_event, logger


class StoppedClock:
    def wall(self):
        return 2.0


def test_events_are_logged_as_json_lines_if_a_sink_is_set(capsys):
    timeline = TimeLine(StoppedClock(), "vm-1", "entry", capacity=2)
    timeline.record("first")
    configure_logs("pimentoquay-entry", "vm-1")
    timeline.set_sink(log_event)
    for kind in ("placed", "ended"):
        timeline.record(kind, "w/r1", "w", "engine-1")
    logger.remove()
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert [(line["kind"], line["request"], line["count"]) for line in lines] == [
        ("placed", "w/r1", "1"),
        ("ended", "w/r1", "2"),
    ]
    assert [event.kind for event in timeline.events()] == ["placed", "ended"]
    assert timeline.events("w/r2") == ()
