"""Replayed bursts over the capacity of prefill engines: how often prompts are sent again."""

import pytest

from pimentoquay.policy.prefill_timeout import is_worth_sending, prefill_timeout
from pimentoquay.policy.tests.virtual_vms import EventQueue

ENGINES, SPEED, PROMPT = 6, 50_000.0, 5_000
HOLD_SECONDS, CALLER_SECONDS = 2.0, 3.6


class Burst(EventQueue):
    """Prompts at FIFO engines that finish each prompt, also one that its gateway has given up.

    ``timeout_of`` returns the time-out for an expected time, the time left of the memory hold and
    the time left of the caller.
    """

    def __init__(self, load, queue_seconds, timeout_of):
        super().__init__(seed=1)
        self.timeout_of = timeout_of
        self.free_at = [queue_seconds] * ENGINES
        self.prompts = self.sends = self.in_time = 0
        rate = load * ENGINES * SPEED / PROMPT
        now = 0.0
        while now < 2.0:
            now += self.random.expovariate(rate)
            self.at(now, self._send, now, now, ())
        self.run_all()

    def _send(self, arrived_at, sent_at, failed):
        engine = min(
            (each for each in range(ENGINES) if each not in failed), key=lambda n: self.free_at[n]
        )
        expected = max(0.0, self.free_at[engine] - self.now) + PROMPT / SPEED
        hold_left = arrived_at + HOLD_SECONDS - self.now
        caller_left = arrived_at + CALLER_SECONDS - self.now
        timeout = self.timeout_of(expected, hold_left, caller_left)
        self.prompts += not failed
        if timeout <= 0.0:
            return
        self.sends += 1
        self.free_at[engine] = done_at = max(self.now, self.free_at[engine]) + PROMPT / SPEED
        if done_at - self.now <= timeout:
            self.in_time += 1
        elif len(failed) < 2:
            self.at(self.now + timeout, self._send, arrived_at, sent_at, (*failed, engine))


def by_queue(expected, hold_left, caller_left):
    timeout = prefill_timeout(expected, hold_left, caller_left)
    return timeout if is_worth_sending(expected, timeout) else 0.0


def after_a_second(expected, hold_left, caller_left):
    return min(1.0, caller_left)


def test_prompts_that_wait_for_a_second_at_working_engines_are_not_sent_again():
    """Guards against work that grows when there is least capacity for it.

    Every queue is 1 s long when the burst begins, and grows while it lasts.
    """
    before, now = Burst(2.2, 1.0, after_a_second), Burst(2.2, 1.0, by_queue)
    assert before.sends > 2.0 * before.prompts
    assert now.sends <= 1.05 * now.prompts
    assert now.in_time == now.sends > before.in_time
    # The queues may grow until prompts wait as long as their memory is held.
    assert now.in_time >= 0.6 * now.prompts


@pytest.mark.parametrize("load", [0.7, 1.0, 1.5])
def test_prompts_in_short_queues_are_sent_once(load):
    burst = Burst(load, 0.0, by_queue)
    assert burst.sends == burst.prompts == burst.in_time


def test_an_unknown_queue_is_given_the_lifetime_of_the_memory_hold():
    """A gateway that asks a coordinator does not know the prompts of the others."""
    assert prefill_timeout(None, 2.0, 5.0) == pytest.approx(1.9)
    assert prefill_timeout(None, 2.0, 0.7) == pytest.approx(0.7)
    assert prefill_timeout(None, -1.0, 5.0) == 0.0


def test_nothing_is_sent_that_cannot_be_done_before_the_memory_is_released():
    assert is_worth_sending(0.4, 0.5) and is_worth_sending(None, 0.5)
    assert not is_worth_sending(0.6, 0.5)
    assert not is_worth_sending(None, 0.01)
