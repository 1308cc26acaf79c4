"""The `ledgeladder logs` command."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest


def run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ledgeladder", "logs", *words],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.fixture
def log(tmp_path: Path) -> Path:
    path = tmp_path / "a.log"
    lines = [
        {"time": "2026-01-28 12:00:00,000", "box": "a-1", "message": "run ended early"},
        {"time": "2026-01-28 12:00:01,000", "box": "a-1", "message": "request"},
    ]
    text = "\n".join(json.dumps({**item, "request": "r1", "outcome": "answered"}) for item in lines)
    path.write_text(text + '\n{"time": "2026-01-2', encoding="utf-8")
    return path


def test_truncated_file_is_reported(log: Path) -> None:
    done = run(str(log))
    assert done.returncode == 0
    assert done.stdout.startswith("2 lines of 1 boxes; 1 not JSON or cut")


def test_timeline_of_a_request(log: Path) -> None:
    done = run(str(log), "--request", "r1")
    assert done.returncode == 0
    assert "+1.000 s" in done.stdout
    assert run(str(log), "--request", "unknown").returncode == 1


def test_wrong_arguments_and_missing_files_are_reported(log: Path) -> None:
    assert run().returncode == 2
    assert run(str(log), "--bucket_seconds", "0").returncode == 2
    missing = run(str(log.parent / "none.log"))
    assert missing.returncode == 2
    assert "none.log" in missing.stderr
