"""Starts of a daemon on a machine that is short of something."""

from __future__ import annotations

import resource
import subprocess
import sys

SCRIPT = """
import os, resource, threading

import anyio

from ledgeladder.daemons import launch

async def run():
    print("runs")

taken = len(os.listdir("/proc/self/fd"))
soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
resource.setrlimit(resource.RLIMIT_NOFILE, (taken, hard))
threading.Timer(1.0, resource.setrlimit, (resource.RLIMIT_NOFILE, (soft, hard))).start()
code = launch.run_daemon(lambda: anyio.run(run, backend_options=launch.LOOP_OPTIONS), None)
raise SystemExit(code)
"""


def test_process_that_starts_without_descriptors_waits_for_them() -> None:
    """Guards against a process that ends by itself, as others have the descriptors meanwhile."""
    assert resource.getrlimit(resource.RLIMIT_NOFILE)[0] > 100
    ended = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=False
    )
    assert (ended.returncode, ended.stdout) == (0, "runs\n"), ended.stderr
