"""``pimentoquay-bench faults``: runs seeded schedules of failures and checks every invariant."""

import argparse
import contextlib
import gc
import json
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict

from pimentoquay.bench.faults.runner import Outcome, run_schedule, shorten
from pimentoquay.bench.faults.schedule import make_steps
from pimentoquay.kernel import plugin
from pimentoquay.kernel.logs import logger

__all__ = ["FaultsCommand"]


@plugin("bench-command", "faults")
class FaultsCommand:
    """Run seeded schedules of failures and check every invariant after each."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        parser.add_argument("--seed", type=int, default=1, help="seed of the first schedule")
        parser.add_argument("--steps", type=int, default=6, help="failures in each schedule")
        parser.add_argument("--schedules", type=int, default=1, help="schedules, one seed each")
        parser.add_argument("--seconds", type=float, help="start no schedule after this time")
        parser.add_argument(
            "--shorten", type=int, default=20, help="maximum runs to shorten a failing schedule"
        )
        parser.add_argument("--json", action="store_true", help="print one JSON object")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the schedules, print the report and return 1 if an invariant was broken, else 0."""
        logger.remove()
        began = time.perf_counter()
        counts: Counter[str] = Counter()
        failing: list[Outcome] = []
        done = 0
        for seed in range(arguments.seed, arguments.seed + arguments.schedules):
            if arguments.seconds and time.perf_counter() - began > arguments.seconds:
                break
            with _defer_garbage_collection():
                outcome = run_schedule(seed, make_steps(seed, arguments.steps))
            done += 1
            counts.update(outcome.count_by_ending)
            if outcome.violations:
                failing.append(shorten(seed, outcome.steps, arguments.shorten))
        seconds = time.perf_counter() - began
        if arguments.json:
            print(json.dumps(_report(arguments, done, seconds, counts, failing)))
        else:
            _print_table(done, seconds, counts, failing)
        return 1 if failing else 0


@contextlib.contextmanager
def _defer_garbage_collection() -> Iterator[None]:
    """Disable garbage collection during a schedule and collect once after it.

    Objects that exist before the schedule are frozen, so that no collection scans them again.
    """
    gc.freeze()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.collect()


def _report(
    arguments: argparse.Namespace,
    done: int,
    seconds: float,
    counts: Counter[str],
    failing: list[Outcome],
) -> dict[str, object]:
    return {
        "seed": arguments.seed,
        "steps": arguments.steps,
        "schedules": done,
        "seconds": round(seconds, 2),
        "calls": dict(sorted(counts.items())),
        "violations": [
            {
                "seed": outcome.seed,
                "violations": [asdict(item) for item in outcome.violations],
                "steps": [asdict(step) for step in outcome.steps],
            }
            for outcome in failing
        ],
    }


def _print_table(done: int, seconds: float, counts: Counter[str], failing: list[Outcome]) -> None:
    sys.stdout.write(f"{done} schedules in {seconds:.1f} s, {len(failing)} broke an invariant\n")
    for ending, count in sorted(counts.items()):
        sys.stdout.write(f"  {ending:24}{count:8}\n")
    for outcome in failing:
        sys.stdout.write(f"seed {outcome.seed}, shortest schedule found:\n")
        for step in outcome.steps:
            sys.stdout.write(
                f"  {step.at:6.2f} s {step.kind} for {step.seconds} s "
                f"(target {step.target}, other {step.other})\n"
            )
        for item in outcome.violations:
            sys.stdout.write(f"  broken: {item.invariant}: {item.detail}\n")
