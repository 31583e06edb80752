"""The indexed queue against its naive twin, on the same operations."""

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoquay.policy import FairQueue, QueueItem

QUANTUM = 4.0


@dataclass
class NaiveQueue:
    """Looks at every item for every decision."""

    items: list[QueueItem] = field(default_factory=list)
    time_by_workspace: dict[str, float] = field(default_factory=dict)
    time: float = 0.0

    def waiting(self):
        return {item.workspace for item in self.items}

    def push(self, item):
        if item.workspace not in self.waiting():
            own = self.time_by_workspace.get(item.workspace, 0.0)
            self.time_by_workspace[item.workspace] = max(own, self.time)
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
        self.time_by_workspace[item.workspace] += item.cost
        self.time += item.cost / len(self.waiting())
        self.remove(item.request_id)
        return item


operations = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "remove"]),
        st.integers(0, 3),
        st.integers(0, 2),
        st.integers(0, 20),
        st.integers(1, 12),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(operations)
def test_same_order_as_naive(steps):
    indexed, naive = FairQueue(QUANTUM), NaiveQueue()
    for number, (name, workspace, urgency, deadline, cost) in enumerate(steps):
        if name == "push":
            item = QueueItem(f"r{number}", f"w{workspace}", urgency, float(deadline), float(cost))
            indexed.push(item)
            naive.push(item)
        elif name == "pop" and naive.items:
            assert indexed.pop() == naive.pop()
        elif name == "remove" and naive.items:
            victim = naive.items[deadline % len(naive.items)].request_id
            assert indexed.remove(victim) is not None
            naive.remove(victim)
        assert len(indexed) == len(naive.items)
        assert indexed.peek() == naive.peek()


def test_noisy_workspace_does_not_delay_another():
    queue = FairQueue(QUANTUM)
    for number in range(200):
        queue.push(QueueItem(f"n{number}", "noisy", 0, float(number), 1.0))
    for _ in range(20):
        queue.pop()
    queue.push(QueueItem("quiet", "school", 1, 1000.0, 1.0))
    assert queue.ahead_of("school", (1, 999.0, "next")) <= 1
    served = [queue.pop().request_id for _ in range(int(2 * QUANTUM) + 2)]
    assert "quiet" in served


def test_workspaces_over_their_share_are_still_served():
    queue = FairQueue(QUANTUM)
    for number in range(50):
        queue.push(QueueItem(f"n{number}", "only", 0, 0.0, 10.0))
    assert [queue.pop().request_id for _ in range(50)]
