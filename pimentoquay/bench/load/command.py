"""The command ``pimentoquay-bench load``: send a mixed load to running entries."""

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
"""Exit status if a check of the load failed."""

PROGRESS_SECONDS = 1.0
"""Time between two lines of progress, in seconds."""

CONNECTIONS_PER_ENTRY = 1000
"""Maximum number of connections to one entry."""

MAX_SHOWN_FAULTS = 10
"""Maximum number of faulty results that are printed."""

_FAULTY_OUTCOMES = (Outcome.WRONG, Outcome.INCOMPLETE)


@plugin("bench-command", "load")
class LoadCommand:
    """Send a mixed load to real entries and check every answer."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command to its parser."""
        parser.add_argument("--plan", type=Path, required=True, help="the load's INI file")
        parser.add_argument("--seconds", type=float, help="how long to send; overrides the plan")
        parser.add_argument("--seed", type=int, help="the seed; overrides the plan")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the load and return the exit status, 1 if a check failed."""
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
    """Send a load for some seconds, print its progress and results, and return its report."""
    tally = Tally()
    observer = Observer(plan)
    peers = tuple(HttpPeer(address, CONNECTIONS_PER_ENTRY) for address in plan.entries)
    await observer.read()
    background_tasks = [
        asyncio.create_task(observer.poll()),
        asyncio.create_task(_print_progress(tally)),
    ]
    try:
        async with asyncio.TaskGroup() as group:
            for stream_index, stream in enumerate(plan.streams):
                rng = random.Random(f"{seed} {stream.name}")
                caller = Caller(stream, peers, plan.load.tries, rng, LoopClock())
                group.create_task(
                    _send_stream(group, caller, stream, tally, seconds, f"{seed}-{stream_index}")
                )
        await asyncio.sleep(plan.load.settle_seconds)
    finally:
        for background_task in background_tasks:
            background_task.cancel()
        await asyncio.wait(background_tasks)
    await observer.read()
    report = observer.report(tally, seconds)
    _print_report(tally, report, observer.waste_by_row(tally))
    for peer in peers:
        await peer.close()
    await observer.close()
    return report


async def _send_stream(
    group: asyncio.TaskGroup,
    caller: Caller,
    stream: StreamPlan,
    tally: Tally,
    seconds: float,
    prefix: str,
) -> None:
    """Start the requests of a stream as a Poisson process, as independent callers would."""
    loop = asyncio.get_running_loop()
    arrivals = random.Random(f"{prefix} arrivals")
    end = loop.time() + seconds
    next_at = loop.time() + arrivals.expovariate(stream.rate)
    count = 0
    run_id = random.SystemRandom().randrange(1 << 32)
    while next_at < end:
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        tally.sent += 1
        count += 1
        group.create_task(_send_request(caller, f"load-{run_id:x}-{prefix}-{count}", tally))
        next_at += arrivals.expovariate(stream.rate)


async def _send_request(caller: Caller, name: str, tally: Tally) -> None:
    tally.add(await caller.send(name))


async def _print_progress(tally: Tally) -> None:
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        print(f"load: {tally.progress()}", flush=True)


def _print_report(tally: Tally, report: LoadReport, waste_by_row: dict[str, float]) -> None:
    faulty_results = [result for result in tally.results if result.outcome in _FAULTY_OUTCOMES]
    for result in faulty_results[:MAX_SHOWN_FAULTS]:
        print(f"{result.outcome.value}: {result.request_ids[-1]} {result.code} {result.detail}")
    print(tally.table(waste_by_row))
    print(f"wasted prefill of all: {report.wasted_prefill:.1%}", flush=True)
