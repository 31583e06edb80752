"""``python -m pimentoquay.gateway``: the gateway of a VM on the users' platform."""

import signal
import sys

# The default action of this signal ends the process, so it is replaced before the slow imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pimentoquay.gateway.program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
