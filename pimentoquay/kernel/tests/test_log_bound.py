import io
import json

from pimentoquay.kernel.logs import LINES_PER_SECOND, _LineBound, configure_logs, logger


def test_lines_of_a_kind_are_bounded_in_each_second_and_counted():
    bound = _LineBound()
    admitted = [bound.admit("sent", 1.0) for _ in range(LINES_PER_SECOND + 5)]
    assert admitted.count(None) == 5
    assert bound.admit("ended", 1.5) == 0
    assert bound.admit("sent", 2.0) == 5
    assert bound.admit("sent", 2.1) == 0


def test_a_line_is_json_on_the_stream_that_was_given():
    stream = io.StringIO()
    configure_logs("test", "vm-1", "INFO", stream)
    logger.bind(request="r1").info("request ended")
    logger.remove()
    line = json.loads(stream.getvalue())
    assert (line["message"], line["request"], line["vm"]) == ("request ended", "r1", "vm-1")
