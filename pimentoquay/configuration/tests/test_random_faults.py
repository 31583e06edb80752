"""Random schedules of combined faults, checked against a replay of the complete log."""

import asyncio
import random

import pytest

from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.tests.cluster import DATA_CENTRE_BY_VM, ClusterFake
from pimentoquay.configuration.tests.samples import change
from pimentoquay.kernel import ResultCode
from pimentoquay.standin.log import StandinLog

pytestmark = pytest.mark.looptime(start=0)

STEPS = 30
SETTLE_SECONDS = 60.0
NAMES = ("hall", "school", "press")


class RecordingLog(StandinLog):
    """Log that also replays each record it accepts into ``expected_state``."""

    def __init__(self, model, expected_state):
        super().__init__(model)
        self._expected_state = expected_state

    def _store(self, stream, data):
        offset = super()._store(stream, data)
        self._expected_state.fold(offset, data)
        return offset


class Schedule:
    """Random schedule of faults and changes for one seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.cluster = ClusterFake(retention=60.0, checkpoint_part_bytes=1024)
        self.expected_state = ConfigurationState()
        self.answers = {}
        self.publishing = []
        self.cluster.log = RecordingLog(self.cluster.log.model, self.expected_state)

    async def run(self):
        await self.cluster.start()
        await asyncio.sleep(5)
        actions = (
            self.publish,
            self.publish,
            self.publish,
            self.log_outage,
            self.slow_log,
            self.lose_answers,
            self.cut,
            self.heal,
            self.replace_some,
            self.replace_all,
            self.pause,
        )
        for _ in range(STEPS):
            await self.random.choice(actions)()
            await asyncio.sleep(self.random.choice((0.0, 0.3, 2.0, 8.0)))
        await self.settle()

    async def publish(self):
        vm = self.random.choice(list(DATA_CENTRE_BY_VM))
        if vm not in self.cluster.control_by_vm:
            return
        name = self.random.choice(NAMES)
        number = len(self.publishing)
        known = self.cluster.control_by_vm[vm].part.replica.state
        base = known.version_of(name) if known is not None else 0
        base = self.random.choice((base, base, base, max(0, base - 3)))
        weight = self.random.choice((number + 1, number + 1, number + 1, None))
        record = change(f"c{number}", name, base, weight)
        self.publishing.append(asyncio.create_task(self._publish(vm, record)))

    async def _publish(self, vm, record):
        self.answers[record.change_id] = await self.cluster.publish(vm, record)

    async def log_outage(self):
        self.cluster.log.outage(self.random.choice((1, 5, 25)))

    async def slow_log(self):
        self.cluster.log.slow(self.random.choice((0.5, 2.5)), 10)

    async def lose_answers(self):
        self.cluster.log.lose_next_answers(self.random.randint(1, 3))

    async def cut(self):
        self.cluster.cut(self.random.choice("abc"))

    async def heal(self):
        for data_centre in "abc":
            self.cluster.heal(data_centre)

    async def replace_some(self):
        vms = [vm for vm in DATA_CENTRE_BY_VM if self.random.random() < 0.4]
        await self.replace(vms)

    async def replace_all(self):
        if self.random.random() < 0.4:
            await self.replace(list(DATA_CENTRE_BY_VM))

    async def replace(self, vms):
        if vms:
            await self.cluster.stop(*vms)
            await self.cluster.start(*vms)

    async def pause(self):
        vm = self.random.choice(list(DATA_CENTRE_BY_VM))
        control = self.cluster.control_by_vm[vm]
        self.cluster.network.pause(vm)
        control.node.timers.pause()
        await asyncio.sleep(self.random.choice((1.0, 5.0, 20.0)))
        control.node.timers.resume()
        self.cluster.network.resume(vm)

    async def settle(self):
        await self.heal()
        self.cluster.log.lose_next_answers(0)
        await asyncio.sleep(SETTLE_SECONDS)
        # Publishers on replaced VMs never return.
        for task in self.publishing:
            task.cancel()
        await asyncio.gather(*self.publishing, return_exceptions=True)

    def check(self):
        self.cluster.check_no_rollback()
        for name, workspace in self.expected_state.workspace_by_name().items():
            expected = dict.fromkeys(DATA_CENTRE_BY_VM, workspace.weight)
            assert self.cluster.weights(name) == expected, name
        for control in self.cluster.control_by_vm.values():
            state = control.part.replica.state
            assert state is not None
            assert state.version_by_name() == self.expected_state.version_by_name()
        for change_id, answer in self.answers.items():
            self._check_answer(change_id, answer)

    def _check_answer(self, change_id, answer):
        outcome = self.expected_state.outcome_by_change.get(change_id)
        if answer.code is ResultCode.CONFIG_ACCEPTED:
            assert outcome is not None and outcome.code is answer.code, change_id
            assert outcome.version == answer.version, change_id
        elif answer.code is ResultCode.CONFIG_CONFLICT:
            assert outcome is None or outcome.code is answer.code, change_id
        elif answer.code is not ResultCode.CONFIG_UNKNOWN:
            assert outcome is None, (change_id, answer)


@pytest.mark.parametrize("seed", range(6))
async def test_all_vms_agree_after_random_faults_and_answers_were_correct(seed):
    schedule = Schedule(seed)
    try:
        await schedule.run()
        schedule.check()
    finally:
        await schedule.cluster.close()
