"""Runs a control process, under cProfile from some seconds after its start for as long again.

Start-up and the end of its neighbours take far more processor time than a minute at rest, so they
are left out.

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
    """Take the delay in seconds and the output file off the arguments, then run the program."""
    delay, output = float(sys.argv[1]), sys.argv[2]
    sys.argv[1:3] = []
    profiler = cProfile.Profile()
    alarms = iter((profiler.enable, lambda: profiler.dump_stats(output)))
    signal.signal(signal.SIGALRM, lambda *_: next(alarms, int)())
    signal.setitimer(signal.ITIMER_REAL, delay, delay)
    return control_main()


if __name__ == "__main__":
    sys.exit(main())
