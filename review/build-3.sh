#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of the
# deploy file. They are Python modules of this repository, so they are only compiled, to target/.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/review-3 python3 -m compileall -q pimentoquay/standin pimentoquay/http1 \
    pimentoquay/kernel review/harness3.py review/11 review/12 review/13 review/14 review/15 || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c "
import pimentoquay.standin.platform_engine, pimentoquay.standin.platform_store"
