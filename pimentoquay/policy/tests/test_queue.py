"""Compare the indexed queue with a naive one on the same operations."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoquay.policy import FairQueue, QueueItem

QUANTUM = 4.0


@dataclass
class NaiveQueue:
    """Fair queue that examines every item for every decision."""

    items: list[QueueItem] = field(default_factory=list)
    time_by_workspace: dict[str, float] = field(default_factory=dict)
    weight_by_workspace: dict[str, int] = field(default_factory=dict)
    time: float = 0.0

    def waiting(self):
        return {item.workspace for item in self.items}

    def push(self, item):
        if item.workspace not in self.waiting():
            own = self.time_by_workspace.get(item.workspace, 0.0)
            self.time_by_workspace[item.workspace] = max(own, self.time)
        self.weight_by_workspace[item.workspace] = item.weight
        self.items.append(item)

    def remove(self, request_id):
        self.items = [item for item in self.items if item.request_id != request_id]

    def peek(self):
        if not self.items:
            return None
        times = {name: self.time_by_workspace[name] for name in self.waiting()}
        in_share = [name for name in times if times[name] <= self.time + QUANTUM]
        if not in_share:
            least = min((value, name) for name, value in times.items())
            self.time = max(self.time, least[0] - QUANTUM)
            in_share = [least[1]]
            in_share += [name for name in times if times[name] <= self.time + QUANTUM]
        return min((i for i in self.items if i.workspace in in_share), key=lambda i: i.key)

    def pop(self):
        item = self.peek()
        weight_by_name = self.weight_by_workspace
        self.time_by_workspace[item.workspace] += item.cost / weight_by_name[item.workspace]
        self.time += item.cost / sum(weight_by_name[name] for name in self.waiting())
        self.remove(item.request_id)
        return item

    def ahead_of(self, item):
        """Serve a copy of the queue until the new request is served; return how many precede it."""
        simulated = NaiveQueue(
            list(self.items),
            dict(self.time_by_workspace),
            dict(self.weight_by_workspace),
            self.time,
        )
        simulated.push(item)
        ahead = 0
        while simulated.pop() is not item:
            ahead += 1
        return ahead


operations = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "remove"]),
        st.integers(0, 3),
        st.integers(0, 2),
        st.integers(0, 20),
        st.integers(1, 12),
        st.integers(1, 3),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(operations)
def test_same_order_as_naive(steps):
    indexed, naive = FairQueue(QUANTUM), NaiveQueue()
    for number, (name, workspace, urgency, deadline, cost, weight) in enumerate(steps):
        if name == "push":
            head = f"r{number}", f"w{workspace}", urgency
            item = QueueItem(*head, float(deadline), float(cost), weight)
            indexed.push(item)
            naive.push(item)
        elif name == "pop" and naive.items:
            assert indexed.pop() == naive.pop()
        elif name == "remove" and naive.items:
            removed_id = naive.items[deadline % len(naive.items)].request_id
            assert indexed.remove(removed_id) is not None
            naive.remove(removed_id)
        assert len(indexed) == len(naive.items)
        assert indexed.peek() == naive.peek()


def test_noisy_workspace_does_not_delay_another():
    queue = FairQueue(QUANTUM)
    for number in range(200):
        queue.push(QueueItem(f"n{number}", "noisy", 0, float(number), 1.0))
    for _ in range(20):
        queue.pop()
    queue.push(QueueItem("quiet", "school", 1, 1000.0, 1.0))
    ahead = queue.ahead_of(QueueItem("next", "school", 1, 999.0, 1.0))
    served = [queue.pop().request_id for _ in range(int(2 * QUANTUM) + 2)]
    assert served.index("quiet") == ahead


def test_workspaces_over_their_share_are_still_served():
    queue = FairQueue(QUANTUM)
    for number in range(50):
        queue.push(QueueItem(f"n{number}", "only", 0, 0.0, 10.0))
    assert [queue.pop().request_id for _ in range(50)]


def served_at_first(weights, count):
    """Return how many of the first ``count`` served requests belong to each workspace."""
    queue = FairQueue(QUANTUM)
    for name, weight in weights.items():
        for number in range(count):
            queue.push(QueueItem(f"{name}{number}", name, 0, float(number), 1.0, weight))
    served = [queue.pop().workspace for _ in range(count)]
    return {name: served.count(name) for name in weights}


def test_waiting_workspaces_are_served_by_weight():
    served = served_at_first({"light": 1, "heavy": 3}, 200)
    assert served["heavy"] / served["light"] == pytest.approx(3, rel=0.1)


@pytest.mark.parametrize("with_weights", [False, True], ids=["equal", "weighted"])
def test_estimate_of_requests_ahead_is_near_a_simulation(with_weights):
    errors, worst, ahead = 0.0, 0.0, 0
    for seed in range(100):
        indexed, naive, items = random_backlog(seed, with_weights)
        for item in items:
            simulated = naive.ahead_of(item)
            error = abs(indexed.ahead_of(item) - simulated)
            errors, worst, ahead = errors + error, max(worst, error), ahead + simulated
    assert ahead > 500
    assert errors <= 0.1 * ahead
    assert worst <= 5


def random_backlog(seed, with_weights):
    """Return both queues after the same random operations, and a new request per workspace."""
    rng = random.Random(seed)
    indexed, naive = FairQueue(QUANTUM), NaiveQueue()
    names = [f"w{number}" for number in range(rng.randint(2, 6))]
    rates = [rng.choice([1, 1, 1, 10]) for _ in names]
    cost_by_name = {name: rng.choice([0.5, 1.5]) for name in names}
    weight_by_name = {name: rng.choice([1, 1, 2]) if with_weights else 1 for name in names}
    for number in range(rng.randint(20, 160)):
        name = rng.choices(names, rates)[0]
        deadline = number * 0.01 + rng.choice([1.1, 1.1, 4.0])
        cost = cost_by_name[name] * rng.uniform(0.7, 1.3)
        urgency = rng.choice([0, 0, 1])
        item = QueueItem(f"r{number}", name, urgency, deadline, cost, weight_by_name[name])
        for queue in (indexed, naive):
            queue.push(item)
        if rng.random() < 0.6:
            assert indexed.pop() == naive.pop()
    arrivals = [
        QueueItem(f"new-{name}", name, 0, 2.7, cost_by_name[name], weight_by_name[name])
        for name in names
    ]
    return indexed, naive, arrivals
