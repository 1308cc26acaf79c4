"""Logs of running fleets are kept when a test fails."""

from __future__ import annotations

from pathlib import Path

import pytest

from standins import kept_logs
from standins.kept_logs import fleet_folder, keep_logs


def test_logs_of_running_fleets_are_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(kept_logs, "KEPT_FOLDER", tmp_path)
    with fleet_folder() as folder:
        (folder / "gateway-0.log").write_text("line")
        (folder / "registry-0").mkdir()
        (folder / "registry-0" / "journal").write_text("data")
        kept = keep_logs("tests/test_x.py::test_y[a-b]")
    assert [path.name for path in kept[-1].iterdir()] == ["gateway-0.log"]
    assert (kept[-1] / "gateway-0.log").read_text() == "line"
    assert not folder.exists()
    assert keep_logs("again") == []
