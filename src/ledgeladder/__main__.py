"""Allows `python -m ledgeladder`."""

from __future__ import annotations

import signal
import sys

# Platforms send SIGHUP when a settings file changes, also to a process that has only just begun to
# start; its default action would end the process before the daemon can handle it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .daemons.launch import LAUNCHERS, settings_path  # noqa: E402

words = sys.argv[1:]
if len(words) == 1 and words[0] in LAUNCHERS and settings_path(None) is not None:
    # Parsing flags takes a library that costs a tenth of the time to start a daemon.
    sys.exit(LAUNCHERS[words[0]](settings_path(None)))

from .cli.main import run  # noqa: E402

run()
