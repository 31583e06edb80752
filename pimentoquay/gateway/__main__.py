"""Entry point of ``python -m pimentoquay.gateway``, which runs the gateway of one VM."""

import signal
import sys

# SIGHUP ends the process by default, so it is ignored before the slow imports begin.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pimentoquay.gateway.program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
