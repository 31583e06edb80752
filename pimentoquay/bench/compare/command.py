"""The command ``pimentoquay-bench compare``: run scenarios with several policies."""

import argparse
import dataclasses
import json
import sys
from pathlib import Path
from typing import Any

from pimentoquay.bench.compare.deployment import DEPLOYMENTS
from pimentoquay.bench.compare.measures import Measures
from pimentoquay.bench.compare.plot import draw_chart
from pimentoquay.bench.compare.scenarios import SCENARIOS
from pimentoquay.bench.compare.simulation import run_scenario
from pimentoquay.bench.compare.variants import VARIANTS
from pimentoquay.kernel import plugin

__all__ = ["CompareCommand", "compare"]

DEFAULT_SECONDS = 20.0
"""Virtual duration of one run, in seconds."""

DEFAULT_POLICIES = ["naive", "full"]


@plugin("bench-command", "compare")
class CompareCommand:
    """Compare placement policies on the same seeds under virtual time."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command to its parser."""
        parser.add_argument("--scenario", default="all", choices=["all", *SCENARIOS])
        parser.add_argument("--seed", type=int, default=1, help="first seed")
        parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
        parser.add_argument("--policy", nargs="+", default=DEFAULT_POLICIES, choices=list(VARIANTS))
        parser.add_argument(
            "--deployment", nargs="+", default=list(DEPLOYMENTS), choices=list(DEPLOYMENTS)
        )
        parser.add_argument(
            "--seconds", type=float, default=DEFAULT_SECONDS, help="virtual time of each run"
        )
        parser.add_argument("--json", action="store_true", help="print JSON instead of a table")
        parser.add_argument("--plot", type=Path, help="draw goodput into this SVG file")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the comparison, print it, and return 1 if an invariant was violated, else 0."""
        rows = compare(arguments)
        if arguments.json:
            print(json.dumps(rows, indent=2, sort_keys=True))
        if arguments.plot is not None:
            arguments.plot.write_text(draw_chart(rows), encoding="utf-8")
        return 1 if any(sum(row["invariants"].values()) for row in rows) else 0


def compare(arguments: argparse.Namespace) -> list[dict[str, Any]]:
    """Run every combination of the options and return one row of measures for each run.

    Without ``--json`` each row is printed as soon as its run has ended.
    """
    names = list(SCENARIOS) if arguments.scenario == "all" else [arguments.scenario]
    rows = []
    for scenario in names:
        for deployment in arguments.deployment:
            for policy in arguments.policy:
                for seed in range(arguments.seed, arguments.seed + arguments.seeds):
                    measures = run_scenario(
                        SCENARIOS[scenario],
                        DEPLOYMENTS[deployment],
                        VARIANTS[policy],
                        seed,
                        arguments.seconds,
                    )
                    row = _row(scenario, deployment, policy, seed, measures)
                    rows.append(row)
                    if not arguments.json:
                        sys.stdout.write(_line(row) + "\n")
                        sys.stdout.flush()
    return rows


def _row(
    scenario: str, deployment: str, policy: str, seed: int, measures: Measures
) -> dict[str, Any]:
    head = {"scenario": scenario, "deployment": deployment, "policy": policy, "seed": seed}
    return {**head, **dataclasses.asdict(measures)}


def _line(row: dict[str, Any]) -> str:
    broken = sum(row["invariants"].values())
    return (
        f"{row['scenario']:16} {row['deployment']:15} {row['policy']:8} seed {row['seed']:<3}"
        f" goodput {row['goodput']:.3f} of {row['capacity_share']:.3f}"
        f" late window {row['window_goodput']:.3f} wasted {row['wasted_prefill']:.4f}"
        f" refused {row['refused_early']:4} failed {row['failed']:3}"
        f" ({row['failed_unstarted']} before a token)"
        f" repeated {row['prefill_repeated']:3} queue {row['worst_queue']:.2f} s"
        f" recovering {row['sent_while_recovering']}/{row['most_sent_at_once']}"
        f"/{row['full_rate_after']:.2f} s held {row['held_after_cancel']}"
        f" violations {broken}"
    )
