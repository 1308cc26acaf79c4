"""The environment that the Makefile makes, without a network: the interpreter is a stub."""

from __future__ import annotations

import os
import platform
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent

# Makes an environment whose pip records its calls.
PYTHON_WITHOUT_NETWORK = """\
#!/usr/bin/env bash
if [ "${1-} ${2-}" != "-m venv" ]; then exec "$REAL_PYTHON" "$@"; fi
mkdir -p "$3/bin"
printf '#!/bin/sh\\necho pip >> "$PIP_CALLS"\\n[ -z "$PIP_FAILS" ]\\n' > "$3/bin/pip"
chmod +x "$3/bin/pip"
"""


class Environment:
    """A copy of the Makefile, its environment and the calls of pip."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.marker = folder / ".venv" / "installed"
        self.calls = folder / "calls"
        self.python = folder / "python"
        shutil.copy(ROOT / "Makefile", folder / "Makefile")
        shutil.copy(ROOT / "pyproject.toml", folder / "pyproject.toml")
        self.python.write_text(PYTHON_WITHOUT_NETWORK)
        self.python.chmod(0o755)

    def make(self, **variables: str) -> int:
        """Make the environment; returns the exit code."""
        own = {"REAL_PYTHON": sys.executable, "PIP_CALLS": str(self.calls), "PIP_FAILS": ""}
        inherited = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        command = ["make", ".venv/installed", f"PYTHON={self.python}"]
        ran = subprocess.run(
            command,
            cwd=self.folder,
            env=inherited | own | variables,
            capture_output=True,
            check=False,
        )
        return ran.returncode

    @property
    def installs(self) -> int:
        """Number of calls of pip."""
        return len(self.calls.read_text().split()) if self.calls.exists() else 0


@pytest.fixture
def environment(tmp_path: Path) -> Environment:
    return Environment(tmp_path)


def test_unchanged_environment_is_kept(environment: Environment) -> None:
    """Guards against an environment that is installed at each call of make."""
    assert [environment.make(), environment.make()] == [0, 0]
    assert environment.installs == 1


@pytest.mark.parametrize(
    ("here", "there"),
    [
        (platform.machine(), "another-machine"),
        (str(sysconfig.get_config_var("SOABI")), "cpython-27-another"),
        (".venv", "another-folder"),
    ],
)
def test_environment_of_another_machine_interpreter_or_place_is_made_anew(
    environment: Environment, here: str, there: str
) -> None:
    """Guards against compiled modules that do not load, kept as the environment was newer."""
    assert environment.make() == 0
    assert here in environment.marker.read_text()
    environment.marker.write_text(environment.marker.read_text().replace(here, there))
    stale = environment.folder / ".venv" / "stale"
    stale.touch()
    assert environment.make() == 0
    assert environment.installs == 2
    assert not stale.exists()


def test_failed_install_is_not_taken_for_whole(environment: Environment) -> None:
    """Guards against an environment with a part of the packages that later calls keep."""
    assert environment.make() == 0
    os.utime(environment.marker, (0, 0))
    assert environment.make(PIP_FAILS="1") != 0
    assert environment.make() == 0
    assert environment.installs == 3
