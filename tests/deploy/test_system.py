"""The command lines of the deploy file."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent

ROLES = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["roles"]

USAGE_EXIT = 2
"""Exit code of a process without settings."""


@pytest.mark.parametrize("role", ROLES)
def test_nothing_of_the_installation_runs_before_sighup_is_ignored(
    tmp_path: Path, role: str
) -> None:
    """Guards against a SIGHUP that ends a process while the interpreter starts."""
    (tmp_path / "sitecustomize.py").write_text(
        f"import os, signal\nos.kill(os.getpid(), {signal.SIGHUP:d})\n"
    )
    path = [str(tmp_path), str(ROOT / "src"), sysconfig.get_path("purelib")]
    environment = {"PATH": os.environ["PATH"], "PYTHONPATH": ":".join(path)}
    command = [sys.executable, *ROLES[role]["run"].split()[1:]]
    ended = subprocess.run(
        command, cwd=tmp_path, env=environment, capture_output=True, text=True, check=False
    )
    assert ended.returncode == USAGE_EXIT, ended.stderr
