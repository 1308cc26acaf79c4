#!/usr/bin/env bash
# Prepares the stand-ins of the scripts: Python of the standard library only, so nothing is fetched.
# The programs themselves come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed" >&2; exit 1; }
python3 -m compileall -q common 1 3 more
