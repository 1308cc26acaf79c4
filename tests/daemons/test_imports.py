"""What a daemon loads when it starts, as a list and a count.

A gateway has half a core, and all boxes start at once after a loss of power: each hundred modules
are a tenth of a second in which nobody is served, and 2 MB on each box.
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
"""What gateways and registries are made of. Not among them: the flags of the command line, the
checks of callers' bodies and policies, and the server and client of the product's own interface."""

MODULES_LIMIT = 380
"""Modules in all, the standard library's too: 377 for a gateway, 366 for a registry."""


USED_AT_ONCE = {
    "gateway": "",
    "registry": "from ledgeladder.coordination import raft; raft.tick, raft.restore_replica",
}
"""What a process uses in its first moment that is loaded at its first use."""


def loaded(role: str) -> set[str]:
    """Return the modules of a process that has everything its role needs."""
    code = (
        "import asyncio, sys, uvloop, anyio._backends._asyncio\n"
        f"from ledgeladder.daemons import launch, {role}\n"
        f"{USED_AT_ONCE[role]}\n"
        "print('\\n'.join(sys.modules))"
    )
    # Without the site packages' own start-up files, which are no part of the program.
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
def test_daemon_loads_what_its_role_needs(role: str) -> None:
    modules = loaded(role)
    packages = {name.partition(".")[0] for name in modules}
    foreign = packages - set(sys.stdlib_module_names) - {"__main__", "ledgeladder"}
    foreign = {name for name in foreign if not name.startswith("_")}
    assert foreign <= LIBRARIES
    assert len(modules) <= MODULES_LIMIT, sorted(modules)


def test_daemon_loads_no_code_of_other_roles() -> None:
    own = {name for name in loaded("gateway") if name.startswith("ledgeladder.daemons.")}
    rooms = {name.split(".")[2] for name in own}
    assert not rooms & {"entry", "control", "registry"}
