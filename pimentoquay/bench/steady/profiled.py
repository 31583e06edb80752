"""Runs a control process and profiles it with cProfile in its steady state.

Profiling starts after a delay and lasts as long as the delay. Start-up and the shutdown of other
processes take far more processor time than a minute at rest, so they are not profiled.

Example
-------
::

    python -m pimentoquay.bench.steady.profiled 15 profile.out --config vm-1.ini
"""

import cProfile
import signal
import sys

from pimentoquay.control.program import main as control_main

__all__ = ["main"]


def main() -> int:
    """Run the control program; the first arguments are the delay in seconds and the output."""
    delay, output = float(sys.argv[1]), sys.argv[2]
    sys.argv[1:3] = []
    profiler = cProfile.Profile()
    alarms = iter((profiler.enable, lambda: profiler.dump_stats(output)))
    signal.signal(signal.SIGALRM, lambda *_: next(alarms, int)())
    signal.setitimer(signal.ITIMER_REAL, delay, delay)
    return control_main()


if __name__ == "__main__":
    sys.exit(main())
