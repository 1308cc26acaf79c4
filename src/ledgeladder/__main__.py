"""Entry point of `python -m ledgeladder`."""

from __future__ import annotations

import signal
import sys

# Platforms send SIGHUP when a settings file changes. Its default action would terminate a process
# that has not yet installed the handler of the daemon.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .daemons.launch import LAUNCHERS, settings_path  # noqa: E402

words = sys.argv[1:]
if len(words) == 1 and words[0] in LAUNCHERS and settings_path(None) is not None:
    # Skips the import of the flag parser, which delays the start of daemons.
    sys.exit(LAUNCHERS[words[0]](settings_path(None)))

from .cli.main import run  # noqa: E402

run()
