"""The command line: example files, wrong settings and wrong usage."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
EXAMPLES = ROOT / "docs" / "examples"


def run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ledgeladder", *words],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        cwd=ROOT,
    )


@pytest.mark.parametrize("name", ["entry.toml", "control.toml"])
def test_example_settings_are_valid(name: str) -> None:
    assert run("settings", "check", str(EXAMPLES / name)).returncode == 0


def test_example_change_is_valid() -> None:
    outcome = run("config", "validate", str(EXAMPLES / "change.toml"))
    assert outcome.returncode == 0, outcome.stderr


@pytest.mark.parametrize(
    ("old", "new", "parts"),
    [
        ('failure_domain = "domain-a"', "failure_domain = 7", ["box.failure_domain = 7"]),
        ("queue_limit = 256", "queue_limit = -1", ["entry.queue_limit = -1", "`int` >= 0"]),
        ("queue_limit = 256", "queue_limits = 256", ["entry.queue_limits = 256", "unknown key"]),
        (
            'secret = "change-this-to-a-long-random-text"',
            'secret = "too-short"',
            ["cluster.secret = '(not shown)'", "length >= 16"],
        ),
        ("[box]", "[box", ["line"]),
    ],
)
def test_wrong_settings_report_file_key_and_value(
    tmp_path: Path, old: str, new: str, parts: list[str]
) -> None:
    text = (EXAMPLES / "entry.toml").read_text(encoding="utf-8")
    assert old in text
    path = tmp_path / "wrong.toml"
    path.write_text(text.replace(old, new, 1), encoding="utf-8")
    outcome = run("settings", "check", str(path))
    assert outcome.returncode == 2
    assert "error 3001" in outcome.stderr
    assert str(path) in outcome.stderr
    assert "too-short" not in outcome.stderr
    for part in parts:
        assert part in outcome.stderr
    assert run("entry", "--settings", str(path)).returncode == 2


@pytest.mark.parametrize(
    "words",
    [(), ("nothing",), ("status",), ("config", "apply"), ("entry",), ("status", "--no_such_flag")],
)
def test_wrong_usage(words: tuple[str, ...]) -> None:
    outcome = run(*words)
    assert outcome.returncode == 2
    assert "usage:" in outcome.stderr


def test_missing_file() -> None:
    assert run("settings", "check", "/nowhere/at-all.toml").returncode == 2


def test_settings_of_a_gateway_process(tmp_path: Path) -> None:
    path = tmp_path / "gateway.toml"
    text = """
[box]
name = "front-1"
failure_domain = "zone-a"
address = "10.0.0.1"
later = "ignored"
[cluster]
secret = "a-secret-of-the-cluster"
link_port = "7340"
metrics_port = 9102
seeds = ["10.0.0.2:80"]
bootstrap = "true"
[gateway]
caller_address = "10.0.0.1:80"
ready_address = "10.0.0.1:81"
[bounds]
revocation_ms = ""
"""
    path.write_text(text)
    good = run("settings", "check", str(path))
    assert good.returncode == 0, good.stderr
    assert "a gateway process" in good.stdout
    path.write_text(text.replace('ready_address = "10.0.0.1:81"', ""))
    missing = run("settings", "check", str(path))
    assert missing.returncode == 2
    assert "gateway.ready_address: missing" in missing.stderr
    started = run("gateway", "--settings", str(path))
    assert started.returncode == 2
