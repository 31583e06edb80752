"""Work that reads left over, in turns between passes of the event loop."""

import asyncio

import pytest

from pimentoquay.kernel.turns import TurnQueue

pytestmark = pytest.mark.usefixtures("one_turn_a_pass")


async def test_one_turn_is_run_in_each_pass_of_the_event_loop():
    turns = TurnQueue()
    left_by_key = {"a": 3, "b": 1}
    done = []

    def turn_of(key):
        def turn():
            done.append(key)
            left_by_key[key] -= 1
            return left_by_key[key] > 0

        return turn

    for key in left_by_key:
        turns.add(key, turn_of(key))
    counts = []
    for _ in range(5):
        counts.append(len(done))
        await asyncio.sleep(0)
    assert counts == [0, 1, 2, 3, 4]
    assert done == ["a", "b", "a", "a"]
    assert turns.turns == 4


async def test_no_turn_is_run_for_a_connection_that_has_ended():
    turns = TurnQueue()
    done = []
    turns.add("a", lambda: done.append("a") or True)
    turns.add("b", lambda: done.append("b") or False)
    turns.discard("a")
    for _ in range(4):
        await asyncio.sleep(0)
    assert done == ["b"]


async def test_others_go_on_if_a_turn_fails():
    turns = TurnQueue()
    done = []

    def fail():
        raise ValueError("broken")

    turns.add("a", fail)
    turns.add("b", lambda: done.append("b") or False)
    for _ in range(4):
        await asyncio.sleep(0)
    assert done == ["b"]


async def test_a_task_that_is_cancelled_while_it_waits_leaves_no_turn():
    turns = TurnQueue()
    other = asyncio.ensure_future(turns.wait("other"))
    waiting = asyncio.ensure_future(turns.wait("cancelled"))
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    await other
    for _ in range(3):
        await asyncio.sleep(0)
    assert turns.turns == 1


async def test_short_turns_are_run_together_for_a_bounded_time(monkeypatch):
    """One turn in each pass kept sound connections waiting while passes took long."""
    monkeypatch.setattr("pimentoquay.kernel.turns.MAX_TURNS_PER_PASS", 32)
    monkeypatch.setattr("pimentoquay.kernel.turns.TURN_SECONDS", 0.001)
    now = 0.0
    done = []

    def work():
        nonlocal now
        now += 0.0004
        done.append(now)
        return True

    turns = TurnQueue(clock=lambda: now)
    for key in range(10):
        turns.add(key, work)
    await asyncio.sleep(0)
    assert len(done) == 3


async def test_work_that_is_done_after_its_turn_is_the_only_one_of_a_pass(monkeypatch):
    monkeypatch.setattr("pimentoquay.kernel.turns.MAX_TURNS_PER_PASS", 32)
    turns = TurnQueue()
    waiting = [asyncio.ensure_future(turns.wait(key)) for key in range(5)]
    counts = []
    for _ in range(5):
        await asyncio.sleep(0)
        counts.append(turns.turns)
    assert counts == [0, 1, 2, 3, 4]
    await asyncio.gather(*waiting)
