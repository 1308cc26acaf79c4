"""Record of the start and the end of the process that uses a data folder."""

from __future__ import annotations

from pathlib import Path

import pytest

from ledgeladder.storage.life import LIFE_FILE, Life, begin_life, end_life


def test_killed_process_is_told_from_one_that_ended(tmp_path: Path) -> None:
    assert begin_life(tmp_path / "data", 1000) is None
    assert begin_life(tmp_path / "data", 2000) == Life(started_ms=1000)
    end_life(tmp_path / "data", 3000, "stop signal")
    ended = Life(started_ms=2000, ended_ms=3000, reason="stop signal")
    assert begin_life(tmp_path / "data", 4000) == ended


@pytest.mark.parametrize("content", [b"", b"{", b"\xff", b"[]"])
def test_torn_record_counts_as_none(tmp_path: Path, content: bytes) -> None:
    (tmp_path / LIFE_FILE).write_bytes(content)
    assert begin_life(tmp_path, 1000) is None
