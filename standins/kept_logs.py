"""Keeps the logs of fleets when a test or a soak run fails, before their folders are removed."""

from __future__ import annotations

import contextlib
import re
import shutil
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

KEPT_FOLDER: Final = Path(__file__).resolve().parent.parent / "results" / "failed"
"""Where logs are kept; git ignores it."""

KEPT_PATTERNS: Final = ("*.log", "*.ledger", "*.toml")
"""Files of a fleet that are kept."""

_running: list[Path] = []
"""Folders of the fleets that are running."""


@contextlib.contextmanager
def fleet_folder() -> Iterator[Path]:
    """Yield a temporary folder for a fleet, whose logs `keep_logs` keeps until the block ends."""
    with tempfile.TemporaryDirectory(prefix="ledgeladder-") as name:
        folder = Path(name)
        _running.append(folder)
        try:
            yield folder
        finally:
            _running.remove(folder)


def keep_logs(name: str) -> list[Path]:
    """Copy the logs of all running fleets.

    Args:
        name: What failed, such as the id of a test.

    Returns:
        The folders with the copies.
    """
    kept = []
    for number, folder in enumerate(_running):
        label = re.sub(r"[^A-Za-z0-9]+", "-", name).strip("-")[-80:]
        copy = KEPT_FOLDER / f"{label}-{time.time_ns()}-{number}"
        copy.mkdir(parents=True)
        for pattern in KEPT_PATTERNS:
            for path in folder.rglob(pattern):
                shutil.copy(path, copy / "-".join(path.relative_to(folder).parts))
        kept.append(copy)
    return kept
