import io
import json

from pimentoquay.kernel.logs import MAX_LINES_PER_SECOND, _LineRateLimiter, configure_logs, logger


def test_lines_with_one_message_are_rate_limited_and_counted():
    limiter = _LineRateLimiter()
    admitted = [limiter.admit("sent", 1.0) for _ in range(MAX_LINES_PER_SECOND + 5)]
    assert admitted.count(None) == 5
    assert limiter.admit("ended", 1.5) == 0
    assert limiter.admit("sent", 2.0) == 5
    assert limiter.admit("sent", 2.1) == 0


def test_a_line_is_written_as_json_to_the_given_stream():
    stream = io.StringIO()
    configure_logs("test", "vm-1", "INFO", stream)
    logger.bind(request="r1").info("request ended")
    logger.remove()
    line = json.loads(stream.getvalue())
    assert (line["message"], line["request"], line["vm"]) == ("request ended", "r1", "vm-1")
