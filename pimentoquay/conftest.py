"""Shared pytest configuration: tests listed in KNOWN-RED.txt may fail and are printed.

An entry of that file is a block of ``key: value`` lines (``test``, ``command``, ``seed``, ``seen``,
``issue``); ``test`` is a pytest node id. A listed test is run, but its failure does not fail the
run; every other failure does.

Hypothesis draws the same examples in each run and has no time limit, so that results are
reproducible. ``--hypothesis-profile=search`` draws new examples.
"""

from pathlib import Path

import hypothesis
import pytest

hypothesis.settings.register_profile("search", deadline=None)
hypothesis.settings.register_profile("repeatable", deadline=None, derandomize=True, database=None)
hypothesis.settings.load_profile("repeatable")

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
_PREFIX = "test:"


def read_known_red(text: str) -> frozenset[str]:
    """Return the node ids in the ``test:`` lines of the text of KNOWN-RED.txt."""
    lines = (line.strip() for line in text.splitlines())
    return frozenset(line[len(_PREFIX) :].strip() for line in lines if line.startswith(_PREFIX))


def _known_red() -> frozenset[str]:
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    return read_known_red(KNOWN_RED_FILE.read_text(encoding="utf-8"))


@pytest.fixture
def one_turn_a_pass(monkeypatch):
    """Let queues run one turn in each pass of the event loop, so that passes tell turns."""
    monkeypatch.setattr("pimentoquay.kernel.turns.MAX_TURNS_PER_PASS", 1)
    monkeypatch.setattr("pimentoquay.kernel.turns.TURN_SECONDS", 0.0)


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Report the failure of a test that KNOWN-RED.txt lists as an expected failure."""
    outcome = yield
    report = outcome.get_result()
    if report.when == "call" and report.failed and item.nodeid in _known_red():
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"


def pytest_terminal_summary(terminalreporter):
    """Print every test that KNOWN-RED.txt lists, with its result in this run."""
    known = _known_red()
    if not known:
        return
    red = {report.nodeid for report in terminalreporter.stats.get("xfailed", ())}
    green = {report.nodeid for report in terminalreporter.stats.get("passed", ())}
    terminalreporter.section("KNOWN-RED.txt")
    for node_id in sorted(known):
        state = "failed" if node_id in red else "passed" if node_id in green else "not run"
        terminalreporter.write_line(f"{state}: {node_id}")
