#!/usr/bin/env bash
# Installs the dependencies into target/deps, lays a link to the package beside them, and checks
# that the roles can be imported from there.
set -euo pipefail
cd "$(dirname "$0")/.."

PIP="python3 -m pip install --quiet --disable-pip-version-check"
CHECK="python3 -I -S deploy/check_build.py"

# A link to a folder that is gone.
if [ -L target ] && [ ! -e target ]; then rm target; fi
mkdir -p target
made_for=$($CHECK made-for)

link_package() {
  # A copied folder may hold a copy of the package in the place of the link.
  rm -rf target/deps/ledgeladder && ln -s "$($CHECK link)" target/deps/ledgeladder
}

is_made() {
  [ -d target/deps ] && [ "$(cat target/installed 2>/dev/null)" = "$made_for" ] \
    && link_package && $CHECK imports
}

name_failures() {
  echo "deploy/build.sh: dependencies cannot be installed for ${made_for% requirements *}" >&2
  while read -r requirement; do
    $PIP --retries 0 --no-deps --target target/tried "$requirement" >/dev/null 2>&1 \
      || echo "deploy/build.sh: requirement $requirement cannot be installed" >&2
  done < deploy/requirements.txt
  rm -rf target/tried
}

if ! is_made; then
  # Written last: what was interrupted is not taken for whole.
  rm -f target/installed
  rm -rf target/deps
  if ! $PIP --target target/deps -r deploy/requirements.txt; then
    name_failures
    exit 1
  fi
  link_package
  $CHECK imports
  echo "$made_for" > target/installed
fi
# Processes cannot write where they start, so modules are compiled once here.
python3 -m compileall -q target/deps src || true
