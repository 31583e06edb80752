"""Ways to know where streams began, under seeded loads with kills of VMs, in virtual time."""

from dataclasses import dataclass, field

import pytest

from pimentoquay.policy.mesh_plan import hash_rank
from pimentoquay.policy.stream_origins import StreamOrigins, stream_key
from pimentoquay.policy.tests.virtual_vms import EventQueue

TELL_SECONDS = 0.02
OWNERS = 3
"""VMs that keep the origin of a stream if they are chosen by a hash of its id."""


@dataclass
class Load(EventQueue):
    """Seeded load of streams at two versions, some of which are taken up at another VM.

    ``way`` is how another VM learns where a stream began: ``told`` to all at its first event, kept
    by ``owners`` by hash of its id, by the ``coordinator`` of its pool, or ``asked`` of the VM that
    began it. At ``kill_at``, half of the VMs end at once and are back a second later.
    """

    seed: int
    vms: int
    per_second: float
    way: str = "told"
    kill_at: float | None = None
    seconds: float = 20.0
    found: int = 0
    missed: int = 0
    wrong: int = 0
    messages: int = 0
    begun: int = 0
    most_kept: int = 0
    _batches: set = field(default_factory=set)

    def __post_init__(self):
        super().__init__(self.seed)

    def run(self):
        self.known = [StreamOrigins() for _ in range(self.vms)]
        self.killed_at = [float("-inf")] * self.vms
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(self.per_second)
            self.at(now, self.begin, f"stream-{self.next_number()}")
        if self.kill_at is not None:
            self.at(self.kill_at, self.kill_half)
        self.run_all()
        return self

    def is_up(self, vm):
        return self.now - self.killed_at[vm] > 1.0

    def up(self):
        return [vm for vm in range(self.vms) if self.is_up(vm)]

    def begin(self, request_id):
        self.begun += 1
        vm, software = self.random.choice(self.up()), self.random.choice(("v1", "v2"))
        self.known[vm].learn("llm", software, [stream_key(request_id)], self.now)
        for other in self.keepers(request_id, vm):
            delay = TELL_SECONDS + self.random.uniform(0.001, 0.3)
            self.at(self.now + delay, self.receive, other, request_id, software)
        if self.way == "told":
            batch = vm, int(self.now / TELL_SECONDS)
            self.messages += (self.vms - 1) * (batch not in self._batches)
            self._batches.add(batch)
        else:
            self.messages += len(self.keepers(request_id, vm))
        ends_at = self.now + self.random.uniform(1.0, 6.0)
        if self.random.random() < 0.05:
            self.at(self.random.uniform(self.now + 0.4, ends_at), self.resume, request_id, software)
        self.at(ends_at, self.end, request_id, vm, software, self.now)

    def keepers(self, request_id, vm):
        """Return the VMs that are sent the origin of a stream."""
        if self.way == "told":
            return [other for other in range(self.vms) if other != vm]
        if self.way == "owners":
            return sorted(range(self.vms), key=lambda each: hash_rank(f"{request_id} {each}"))[
                :OWNERS
            ]
        return [] if self.way == "asked" else [hash_rank(request_id)[0] % max(1, self.vms // 8)]

    def receive(self, vm, request_id, software):
        if self.is_up(vm):
            self.known[vm].learn("llm", software, [stream_key(request_id)], self.now)
            self.most_kept = max(self.most_kept, len(self.known[vm]))

    def end(self, request_id, vm, software, begun_at):
        """Let the caller take its stream up if its VM was killed meanwhile."""
        if self.killed_at[vm] >= begun_at:
            self.at(self.killed_at[vm] + 0.3, self.resume, request_id, software)

    def kill_half(self):
        for vm in self.random.sample(range(self.vms), self.vms // 2):
            self.known[vm], self.killed_at[vm] = StreamOrigins(), self.now

    def resume(self, request_id, software):
        vm = self.random.choice(self.up())
        asked = {"told": [vm], "asked": list(range(self.vms))}.get(
            self.way, [vm, *self.keepers(request_id, vm)]
        )
        self.messages += 2 * (len(asked) - 1)
        key = stream_key(request_id)
        answers = {self.known[each].software_of("llm", key) for each in asked} - {None}
        self.found += bool(answers)
        self.missed += not answers
        self.wrong += bool(answers - {software})


SIZES = ((7, 14.0), (77, 60.0), (195, 120.0))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("vms", "per_second"), SIZES)
def test_streams_find_their_version_after_half_of_the_vms_were_killed(seed, vms, per_second):
    load = Load(seed, vms, per_second, kill_at=10.0).run()
    assert load.found > 20 and load.wrong == 0
    assert load.missed <= 0.05 * load.found


@pytest.mark.parametrize("way", ["owners", "coordinator", "asked"])
def test_fewer_streams_find_their_version_in_the_other_ways(way):
    told, other = (Load(0, 77, 60.0, each, 10.0).run() for each in ("told", way))
    assert told.missed < other.missed
