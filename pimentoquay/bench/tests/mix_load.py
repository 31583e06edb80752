"""Load with a changing mix of prompt and answer lengths, and the results of its requests."""

import asyncio
import itertools
from contextlib import aclosing
from dataclasses import dataclass

from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.response_frames import text_of_frames
from pimentoquay.entry.request import RequestSpec, token_count
from pimentoquay.kernel import PimentoquayError, ResultCode, is_not_run
from pimentoquay.messages.placement import Urgency
from pimentoquay.messages.workspaces import KindSpec
from pimentoquay.policy.prefixes import prefix_hashes
from pimentoquay.standin.tokens import answer_text

MODEL = "diag-llm"
FIRST_TOKEN_SECONDS = 4.0
TOKEN_INTERVAL_SECONDS = 0.055
KIND = KindSpec(
    "fault-log",
    MODEL,
    Urgency.NORMAL,
    FIRST_TOKEN_SECONDS,
    TOKEN_INTERVAL_SECONDS,
    32000,
    400,
    True,
)


@dataclass(frozen=True)
class Mix:
    """Lengths of prompts and answers in tokens, and requests per second."""

    prompt_tokens: int
    max_tokens: int
    rate: float


LONG_ANSWERS = Mix(100, 200, 4.0)
LONG_PROMPTS = Mix(1600, 60, 2.0)


@dataclass(frozen=True)
class Call:
    """Result of one request; ``code`` is the result code, or 0 for a complete answer.

    ``at`` is the time of sending; ``first_token`` and ``interval`` are the latencies in seconds.
    """

    at: float
    code: int
    is_right: bool
    first_token: float
    interval: float

    @property
    def is_good(self) -> bool:
        """Whether the answer was correct and met both latency targets."""
        in_time = (
            self.first_token <= FIRST_TOKEN_SECONDS and self.interval <= TOKEN_INTERVAL_SECONDS
        )
        return self.is_right and in_time


class MixLoad:
    """Sends requests through the VMs in turn, evenly at the rate of the current mix."""

    def __init__(self, cluster: MemoryCluster, mix: Mix, vms: list[str] | None = None) -> None:
        self._cluster = cluster
        self.vms = vms or list(cluster.vm_by_name)
        self.mix = mix
        self.calls: list[Call] = []
        self._group = asyncio.TaskGroup()
        self._is_stopped = False

    async def run(self) -> None:
        async with self._group:
            for number in itertools.count():
                if self._is_stopped:
                    return
                self._group.create_task(self._call(number, self.mix))
                await asyncio.sleep(1 / self.mix.rate)

    def stop(self) -> None:
        self._is_stopped = True

    def goodput(self, start: float, end: float) -> float:
        """Return the share of good answers among the requests sent between two times."""
        calls = [call for call in self.calls if start <= call.at < end]
        return sum(call.is_good for call in calls) / len(calls)

    def failed_calls(self) -> list[Call]:
        """Return the calls that were neither answered completely nor refused before they ran."""
        return [
            call
            for call in self.calls
            if not call.is_right and not is_not_run(ResultCode(call.code))
        ]

    async def _call(self, number: int, mix: Mix) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time()
        prompt = f"{number:08d} ".ljust(mix.prompt_tokens * 4, "x")
        spec = RequestSpec(
            f"r{number}",
            "rates",
            MODEL,
            KIND,
            prompt,
            token_count(prompt),
            prefix_hashes(prompt),
            mix.max_tokens,
            True,
            True,
            200,
        )
        vm = self.vms[number % len(self.vms)]
        received, first, code = b"", 0.0, 0
        try:
            async with aclosing(self._cluster.vm_by_name[vm].entry.service.run(spec)) as frames:
                async for chunk in frames:
                    first = first or loop.time()
                    received += chunk
        except PimentoquayError as error:
            code = int(error.code)
        expected = answer_text(prompt, mix.max_tokens)
        tokens = max(1, len(expected.split()) - 1)
        is_right = code == 0 and text_of_frames(received) == expected
        interval = (loop.time() - first) / tokens
        self.calls.append(Call(at, code, is_right, first - at, interval))
