"""Allows `python -m ledgeladder`."""

from __future__ import annotations

import signal

# Platforms send SIGHUP when a settings file changes, also to a process that has only just begun to
# start; its default action would end the process before the daemon can handle it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .cli.main import run  # noqa: E402

run()
