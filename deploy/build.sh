#!/usr/bin/env bash
# Installs the dependencies into target/deps and lays a link to the package beside them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! -e target/installed ] || [ deploy/requirements.txt -nt target/installed ]; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
    -r deploy/requirements.txt
  touch target/installed
fi
ln -sfn ../../src/ledgeladder target/deps/ledgeladder
# Processes cannot write where they start, so modules are compiled once here.
python3 -m compileall -q target/deps src || true
