"""Compare the load of a link with a step-by-step simulation of its transfers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoquay.policy import KV_LIFETIME_SECONDS, LinkLoad

STEP_SECONDS = 0.001

transfers = st.lists(st.tuples(st.floats(0, 0.3), st.floats(0.02, 0.6)), max_size=12)


class SimulatedLink:
    """Simulation of a link that all transfers share equally, in steps of 1 ms."""

    def __init__(self):
        self.now = 0.0
        self.left_by_name = {}
        self.started_at_by_name = {}
        self.seconds_by_name = {}

    def add(self, name, seconds):
        self.left_by_name[name] = seconds
        self.started_at_by_name[name] = self.now

    def advance(self, seconds):
        """Continue all transfers for some seconds; return the names of those that have ended."""
        ended = []
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            share = STEP_SECONDS / max(1, len(self.left_by_name))
            for name in list(self.left_by_name):
                self.left_by_name[name] -= share
                if self.left_by_name[name] <= 0:
                    del self.left_by_name[name]
                    self.seconds_by_name[name] = self.now - self.started_at_by_name[name]
                    ended.append(name)
        return ended


@settings(max_examples=100, deadline=None)
@given(transfers)
def test_transfers_that_fit_end_before_their_kv_expires(steps):
    link, simulated = LinkLoad(), SimulatedLink()
    for number, (pause, seconds) in enumerate(steps):
        for name in simulated.advance(pause):
            link.remove(name)
        if link.fits(simulated.now, seconds):
            link.add(f"r{number}", simulated.now, seconds, KV_LIFETIME_SECONDS)
            simulated.add(f"r{number}", seconds)
    simulated.advance(10.0)
    assert all(took <= KV_LIFETIME_SECONDS + 0.05 for took in simulated.seconds_by_name.values())


def test_short_transfers_fit_beside_a_long_one_until_its_slack_is_used():
    link = LinkLoad()
    link.add("long", 1.0, 0.5, KV_LIFETIME_SECONDS)
    taken = 0
    while link.fits(1.1, 0.05):
        link.add(f"short-{taken}", 1.1, 0.05, KV_LIFETIME_SECONDS)
        link.remove(f"short-{taken}")
        taken += 1
    assert taken in (3, 4)
    link.remove("long")
    assert link.fits(1.1, 0.5)
    assert len(link) == 0
