"""Processes whose standard output, standard error or standard input is closed at the start."""

from __future__ import annotations

import contextlib
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.discovered_fleet import DiscoveredFleet, wait_until

from .callers import accepts

CLOSED = {"output": ">&-", "output and error": ">&- 2>&-", "all": "<&- >&- 2>&-"}
"""What a shell closes before it becomes the process."""


@contextlib.contextmanager
def running_box(folder: Path, role: str, closed: str) -> Iterator[tuple[DiscoveredFleet, str]]:
    """Run one box without the others; its descriptors are closed at the start."""
    fleet = DiscoveredFleet(folder=folder)
    name = fleet.add_registry(0) if role == "registry" else fleet.add_gateway(0)
    fleet.kill(name)
    box = fleet.boxes[name]
    box.log.write_bytes(b"")
    box.command = ["sh", "-c", f'exec "$0" "$@" {CLOSED[closed]}', *box.command]
    fleet.restart(name)
    try:
        yield fleet, name
    finally:
        fleet.kill(name)


@pytest.mark.parametrize("closed", list(CLOSED))
@pytest.mark.parametrize("role", ["registry", "gateway"])
def test_closed_output_ends_no_process(tmp_path: Path, role: str, closed: str) -> None:
    """Guards against a process that ends at the start, as it has no output for its log."""
    with running_box(tmp_path, role, closed) as (fleet, name):
        box = fleet.boxes[name]
        popen = box.popen
        assert popen is not None
        address = (box.ip, fleet.port + 1)
        wait_until(lambda: popen.poll() is not None or accepts(address), 30, "listening")
        assert popen.poll() is None
        links = [Path(f"/proc/{popen.pid}/fd/{number}").readlink() for number in (1, 2)]
        # Log lines go to descriptor 1, whatever has that number.
        assert links[0] == Path("/dev/null")
        assert (links[1] == Path("/dev/null")) == (closed != "output")
        popen.terminate()
        assert fleet.wait_exit(name, 30) == 0


def test_last_line_goes_to_standard_error_if_the_output_was_closed(tmp_path: Path) -> None:
    """Guards against an end without evidence."""
    with running_box(tmp_path, "gateway", "output") as (fleet, name):
        box = fleet.boxes[name]
        address = (box.ip, fleet.port + 1)
        popen: subprocess.Popen[bytes] | None = box.popen
        assert popen is not None
        wait_until(lambda: popen.poll() is not None or accepts(address), 30, "listening")
        popen.terminate()
        assert fleet.wait_exit(name, 30) == 0
        assert [line["message"] for line in fleet.log(name)] == ["process ends"]
