"""``pimentoquay-bench mutations``: checks that a test fails when its mechanism is switched off."""

import argparse
import json
import os
import subprocess
import sys
from dataclasses import asdict, dataclass

from pimentoquay.bench.mutations.pytest_plugin import ENVIRONMENT_VARIABLE
from pimentoquay.bench.mutations.switches import SWITCHES, Switch, switch_of
from pimentoquay.kernel import plugin

__all__ = ["MutationsCommand", "Verdict", "check_switch"]

TEST_TIMEOUT_SECONDS = 120
"""Maximum duration of one test, in seconds."""

PASSED = 0
"""Exit status of pytest if all tests passed."""

FAILED = 1
"""Exit status of pytest if a test failed."""


@dataclass(frozen=True)
class Verdict:
    """Results of a test with its mechanism in place and with it switched off.

    A result is "passed", "failed", "timed out" or "not run".
    """

    mechanism: str
    test: str
    with_mechanism: str
    without_mechanism: str

    @property
    def is_caught(self) -> bool:
        """Whether the test passes with the mechanism and fails without it."""
        return (self.with_mechanism, self.without_mechanism) == ("passed", "failed")


@plugin("bench-command", "mutations")
class MutationsCommand:
    """Switch each mechanism off in turn and check that its named test fails."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the options of the command."""
        names = tuple(switch.name for switch in SWITCHES)
        parser.add_argument("--only", choices=names, help="check one mechanism")
        parser.add_argument("--json", action="store_true", help="print JSON instead of a table")

    def run(self, arguments: argparse.Namespace) -> int:
        """Check and print each mechanism; return 1 if a test did not detect its loss, else 0."""
        switches = (switch_of(arguments.only),) if arguments.only else SWITCHES
        verdicts = []
        for switch in switches:
            verdict = check_switch(switch)
            verdicts.append(verdict)
            if not arguments.json:
                _print_verdict(verdict)
        if arguments.json:
            print(json.dumps([asdict(verdict) for verdict in verdicts], indent=2))
        return 0 if all(verdict.is_caught for verdict in verdicts) else 1


def check_switch(switch: Switch) -> Verdict:
    """Run the test of a mechanism with the mechanism in place and with it switched off."""
    return Verdict(
        switch.name, switch.test, _run_test(switch.test, ""), _run_test(switch.test, switch.name)
    )


def _run_test(test: str, switched_off: str) -> str:
    command = [sys.executable, "-m", "pytest", "-o", "addopts=", "-q", "-x", test]
    command += ["-p", "pimentoquay.bench.mutations.pytest_plugin", "-p", "no:cacheprovider"]
    environment = {**os.environ, ENVIRONMENT_VARIABLE: switched_off}
    try:
        result = subprocess.run(
            command, env=environment, capture_output=True, timeout=TEST_TIMEOUT_SECONDS, check=False
        )
    except subprocess.TimeoutExpired:
        return "timed out"
    return {PASSED: "passed", FAILED: "failed"}.get(result.returncode, "not run")


def _print_verdict(verdict: Verdict) -> None:
    state = "caught" if verdict.is_caught else "NOT CAUGHT"
    detail = f"with it {verdict.with_mechanism}, without it {verdict.without_mechanism}"
    print(f"{state:10} {verdict.mechanism:32} {detail:40} {verdict.test}", flush=True)
