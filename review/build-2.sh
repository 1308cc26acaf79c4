#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. They need the standard library only; the
# project's own programs are built by deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2 review/4 review/5 review/6
python3 -c 'import sys; sys.path.insert(0, "."); import review.lib2.client, review.lib2.replica'
