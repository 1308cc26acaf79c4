"""Modules that daemons load at startup.

After a power failure all boxes start at once. Each additional module delays their start and takes
memory on every box.
"""

from __future__ import annotations

import subprocess
import sys

import pytest

LIBRARIES = {
    "anyio",
    "cython_runtime",
    "h11",
    "hdrh",
    "idna",
    "msgspec",
    "pyhdrh",
    "pythonjsonlogger",
    "returns",
    "sniffio",
    "typing_extensions",
    "uvloop",
}
"""Third-party packages of gateways and registries. The libraries of the command line, of request
and policy validation, and of the operator interface are not among them."""

MODULES_LIMIT = 381
"""Maximum number of loaded modules, including the standard library."""

LAZY_IMPORTS = {
    "gateway": "",
    "registry": "from ledgeladder.coordination import raft; raft.tick, raft.restore_replica",
}
"""Lazily imported names that a process uses directly after its start."""


def loaded_modules(role: str) -> set[str]:
    """Return the modules of a process that has loaded everything for a role."""
    code = (
        "import asyncio, sys, uvloop, anyio._backends._asyncio\n"
        f"from ledgeladder.daemons import launch, {role}\n"
        f"{LAZY_IMPORTS[role]}\n"
        "print('\\n'.join(sys.modules))"
    )
    # -S skips the startup files of site-packages, which are not part of the program.
    paths = [path for path in sys.path if path]
    run = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": ":".join(paths)},
    )
    return set(run.stdout.split())


@pytest.mark.parametrize("role", ["gateway", "registry"])
def test_daemon_loads_only_the_libraries_of_its_role(role: str) -> None:
    modules = loaded_modules(role)
    packages = {name.partition(".")[0] for name in modules}
    foreign = packages - set(sys.stdlib_module_names) - {"__main__", "ledgeladder"}
    foreign = {name for name in foreign if not name.startswith("_")}
    assert foreign <= LIBRARIES
    assert len(modules) <= MODULES_LIMIT, sorted(modules)


def test_daemon_loads_no_code_of_other_roles() -> None:
    own = {name for name in loaded_modules("gateway") if name.startswith("ledgeladder.daemons.")}
    roles = {name.split(".")[2] for name in own}
    assert not roles & {"entry", "control", "registry"}


def test_package_loads_nothing_before_the_first_line_of_the_program() -> None:
    """Guards against a longer time in which SIGHUP ends a process that has just been started."""
    code = (
        "import sys; before = set(sys.modules); import ledgeladder; "
        "print(set(sys.modules) - before)"
    )
    run = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
    )
    assert run.stdout == "{'ledgeladder'}\n"
