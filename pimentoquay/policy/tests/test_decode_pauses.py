"""Decode engines by memory and by the pauses that they keep, alone and in a replayed load."""

import pytest

from pimentoquay.policy.decode_pauses import DecodePauses
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.tests.virtual_vms import EventQueue

USABLE = 78_000
STREAM = GrowingRun(8_000, 0)
STREAM_SECONDS = 5.0
GAP_SECONDS = 0.3
START = EngineStart("dec-0", 1)


def decode_engine(number):
    name = f"dec-{number}"
    return EngineEntry(name, "llm", "10.0.0.1:1", "hall", False, 64, EngineStage.DECODE, 1)


class Decoding(EventQueue):
    """A coordinator that places streams of 5 s on engines, and learns of long pauses 1 s late.

    ``pause_of`` returns for the number of an engine and the share of its memory in use the seconds
    between two events of a stream.
    """

    def __init__(self, engines, load, pause_of, learns, seconds=30.0):
        super().__init__(seed=1)
        self.engines = [decode_engine(number) for number in range(engines)]
        self.pause_of = pause_of
        self.ledger, self.pauses = RunLedger(), DecodePauses()
        if learns:
            self.ledger.keeps_pause = self.pauses.keeps
        self.placed = dict.fromkeys((each.id for each in self.engines), 0)
        self.refused = 0
        self.late_seconds = self.streamed_seconds = 0.0
        rate = load * engines * (USABLE // STREAM.tokens) / STREAM_SECONDS
        now = 0.0
        while now < seconds:
            now += self.random.expovariate(rate)
            self.at(now, self._arrive)
        for second in range(int(seconds)):
            self.at(float(second), self._measure)
        self.run_all()

    def _arrive(self):
        candidates = self.ledger.candidates(
            self.engines, USABLE, STREAM, self.now, Placer("", "hall")
        )
        if not candidates:
            self.refused += 1
            return
        self.placed[candidates[0].id] += 1
        key = self.ledger.take(candidates[0].id, STREAM, self.now)
        self.at(self.now + STREAM_SECONDS, self.ledger.release, key)

    def _measure(self):
        for number, engine in enumerate(self.engines):
            held = self.ledger.held(engine.id, self.now)
            seconds = held / STREAM.tokens
            is_late = seconds and self.pause_of(number, held / USABLE) > GAP_SECONDS
            self.streamed_seconds += seconds
            if is_late:
                self.late_seconds += seconds
                self.at(self.now + 1.0, self._record, engine.start, held / USABLE, seconds)

    def _record(self, start, fill, seconds):
        self.pauses.record(start, fill, seconds, seconds, self.now)

    @property
    def late_share(self):
        return self.late_seconds / self.streamed_seconds


def one_slow_engine(number, fill):
    return 0.4 if number == 0 else 0.1


def slow_when_nearly_full(number, fill):
    return 0.5 if number == 0 and fill > 0.6 else 0.1


@pytest.mark.parametrize(
    ("pause_of", "load"), [(one_slow_engine, 0.5), (slow_when_nearly_full, 0.65)]
)
def test_engines_that_make_streams_late_are_used_after_the_others(pause_of, load):
    """Guards against memory filled evenly at engines that cannot keep the pause of 0.3 s."""
    by_memory = Decoding(6, load, pause_of, learns=False)
    by_pause = Decoding(6, load, pause_of, learns=True)
    assert by_memory.late_share > 0.08
    assert by_pause.late_share < 0.5 * by_memory.late_share
    assert by_pause.refused <= by_memory.refused
    assert by_pause.placed["dec-0"] > 0


@pytest.mark.parametrize("load", [1.0, 1.5, 2.2])
def test_slow_engines_are_used_when_all_others_are_full(load):
    """Guards against streams that are refused although a slow engine has memory."""
    by_memory = Decoding(6, load, one_slow_engine, learns=False)
    by_pause = Decoding(6, load, one_slow_engine, learns=True)
    assert by_pause.refused <= 1.02 * by_memory.refused + 2
    assert by_pause.placed["dec-0"] > 0.7 * by_memory.placed["dec-0"]


def test_engines_that_keep_the_pause_are_chosen_by_memory_as_before():
    same = [Decoding(6, 0.9, lambda number, fill: 0.1, learns=each) for each in (False, True)]
    assert same[0].placed == same[1].placed


def test_an_engine_that_is_slow_when_nearly_full_is_filled_up_to_there():
    pauses = DecodePauses()
    for second in range(3):
        pauses.record(START, 0.8, 10.0, 0.1, float(second))
        pauses.record(START, 0.95, 10.0, 8.0, float(second))
    assert pauses.keeps(START, 0.8, 3.0) and not pauses.keeps(START, 0.95, 3.0)
    assert pauses.late_engines(3.0) == 1


def test_an_engine_that_was_late_with_less_memory_in_use_is_late_with_more():
    pauses = DecodePauses()
    pauses.record(START, 0.3, 10.0, 9.0, 0.0)
    assert pauses.keeps(START, 0.2, 0.0) and not pauses.keeps(START, 0.9, 0.0)


def test_single_long_pauses_change_nothing_and_late_engines_are_tried_again():
    pauses = DecodePauses()
    pauses.record(START, 0.5, 10.0, 0.4, 0.0)
    pauses.record(START, 0.1, 0.4, 0.31, 0.0)
    assert pauses.keeps(START, 0.9, 0.0)
    pauses.record(START, 0.5, 10.0, 9.0, 1.0)
    assert not pauses.keeps(START, 0.5, 2.0)
    assert pauses.keeps(START, 0.5, 40.0)


def test_pauses_of_one_stream_do_not_make_an_engine_of_twelve_slow():
    """Only gateways with long pauses report, so theirs were a share of their own time alone."""
    pauses, alone = DecodePauses(), DecodePauses()
    for second in range(20):
        pauses.record(START, 0.5, 1.0, 0.4, float(second), streams=12)
        alone.record(START, 0.5, 1.0, 0.4, float(second), streams=1)
        assert pauses.keeps(START, 0.5, float(second))
    assert not alone.keeps(START, 0.5, 19.0)


@pytest.mark.parametrize("spread", [0.0, 1 / 12])
def test_an_engine_is_slow_if_all_its_streams_are_late_at_many_gateways(spread):
    """The time of all streams counts once, not for each gateway that reports."""
    pauses = DecodePauses()
    for second in range(5):
        for gateway in range(12):
            pauses.record(START, 0.5, 1.0, 0.4, second + gateway * spread, streams=12)
    assert not pauses.keeps(START, 0.5, 5.0)


@pytest.mark.parametrize(
    ("seconds", "late_seconds"),
    [(0.0, 0.0), (-1.0, -2.0), (1.0, 2.0), (float("inf"), 1.0), (float("inf"), float("inf"))],
)
def test_times_that_cannot_be_right_are_ignored(seconds, late_seconds):
    pauses = DecodePauses()
    pauses.record(START, 0.5, seconds, late_seconds, 0.0)
    assert pauses.keeps(START, 0.5, 0.0)


def test_one_report_of_a_huge_time_does_not_last():
    """Guards against an engine that is avoided for long after one false report."""
    pauses = DecodePauses()
    pauses.record(START, 0.5, 1e9, 1e9, 0.0)
    assert not pauses.keeps(START, 0.5, 0.0)
    assert pauses.keeps(START, 0.5, 40.0)
