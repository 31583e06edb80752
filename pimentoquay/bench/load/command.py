"""``pimentoquay-bench load``: a mixed load on real entries."""

import argparse
import asyncio
import json
import random
import sys
from pathlib import Path

from pimentoquay.bench.load.caller import Caller
from pimentoquay.bench.load.observer import Observer
from pimentoquay.bench.load.plan import LoadPlan, StreamPlan, read_plan
from pimentoquay.bench.load.tally import LoadReport, Outcome, Tally
from pimentoquay.kernel import LoopClock, plugin
from pimentoquay.kernel.http_peer import HttpPeer
from pimentoquay.kernel.programs import EXIT_SETTINGS
from pimentoquay.kernel.settings import SettingsError

__all__ = ["LoadCommand", "run_load"]

EXIT_UNCLEAN = 1
PROGRESS_SECONDS = 1.0
CONNECTIONS_PER_ENTRY = 1000
SHOWN_FAULTS = 10
"""Results that should not be, shown one a line."""

_FAULTS = (Outcome.WRONG, Outcome.INCOMPLETE)


@plugin("bench-command", "load")
class LoadCommand:
    """Send a mixed load to real entries and check every answer."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        parser.add_argument("--plan", type=Path, required=True, help="the load's INI file")
        parser.add_argument("--seconds", type=float, help="how long to send, over the plan's")
        parser.add_argument("--seed", type=int, help="the seed, over the plan's")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the load; return 1 if anything happened that must never happen."""
        try:
            plan = read_plan(arguments.plan)
        except SettingsError as error:
            for fault in error.faults:
                print(fault, file=sys.stderr)
            return EXIT_SETTINGS
        seconds = arguments.seconds if arguments.seconds is not None else plan.load.seconds
        seed = arguments.seed if arguments.seed is not None else plan.load.seed
        report = asyncio.run(run_load(plan, seconds, seed))
        print(json.dumps(report.as_json()))
        return 0 if report.is_clean else EXIT_UNCLEAN


async def run_load(plan: LoadPlan, seconds: float, seed: int) -> LoadReport:
    """Send a load, print its progress and its table, and return its figures."""
    tally = Tally()
    observer = Observer(plan)
    peers = tuple(HttpPeer(address, CONNECTIONS_PER_ENTRY) for address in plan.entries)
    await observer.read()
    helpers = [asyncio.create_task(observer.poll()), asyncio.create_task(_show_progress(tally))]
    try:
        async with asyncio.TaskGroup() as group:
            for number, stream in enumerate(plan.streams):
                rng = random.Random(f"{seed} {stream.name}")
                caller = Caller(stream, peers, plan.load.tries, rng, LoopClock())
                group.create_task(_send(group, caller, stream, tally, seconds, f"{seed}-{number}"))
        await asyncio.sleep(plan.load.settle_seconds)
    finally:
        for helper in helpers:
            helper.cancel()
        await asyncio.wait(helpers)
    await observer.read()
    report = observer.report(tally, seconds)
    _show(tally, report, observer.waste_by_row(tally))
    for peer in peers:
        await peer.close()
    await observer.close()
    return report


async def _send(
    group: asyncio.TaskGroup,
    caller: Caller,
    stream: StreamPlan,
    tally: Tally,
    seconds: float,
    prefix: str,
) -> None:
    """Start requests at random times, as independent callers do."""
    loop = asyncio.get_running_loop()
    arrivals = random.Random(f"{prefix} arrivals")
    end = loop.time() + seconds
    due = loop.time() + arrivals.expovariate(stream.rate)
    count = 0
    run = random.SystemRandom().randrange(1 << 32)
    while due < end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        tally.sent += 1
        count += 1
        group.create_task(_send_one(caller, f"load-{run:x}-{prefix}-{count}", tally))
        due += arrivals.expovariate(stream.rate)


async def _send_one(caller: Caller, name: str, tally: Tally) -> None:
    tally.add(await caller.send(name))


async def _show_progress(tally: Tally) -> None:
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        print(f"load: {tally.progress()}", flush=True)


def _show(tally: Tally, report: LoadReport, waste_by_row: dict[str, float]) -> None:
    faults = [result for result in tally.results if result.outcome in _FAULTS]
    for result in faults[:SHOWN_FAULTS]:
        print(f"{result.outcome.value}: {result.request_ids[-1]} {result.code} {result.detail}")
    print(tally.table(waste_by_row))
    print(f"wasted prefill of all: {report.wasted_prefill:.1%}", flush=True)
