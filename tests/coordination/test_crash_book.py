"""Crashes of upstreams by request fingerprint."""

from __future__ import annotations

from ledgeladder.coordination.crash_book import (
    CRASH_LIMIT,
    MAX_SINGLE_CRASHES,
    MAX_SUSPECTS,
    CrashTable,
    blamed_fingerprints,
    clear_crashes,
    crash_count,
    record_crash,
)

FINGERPRINT = b"content"


def table_with(crashes: int) -> CrashTable:
    table = CrashTable()
    for number in range(crashes):
        assert record_crash(table, FINGERPRINT, f"i-{number}")
    return table


def blamed(table: CrashTable, alive: set[str]) -> list[bytes]:
    return list(blamed_fingerprints(table, lambda instance: instance not in alive))


def test_fingerprint_is_blamed_once_enough_crashes_are_confirmed() -> None:
    for crashes in range(CRASH_LIMIT):
        assert blamed(table_with(crashes), set()) == []
    table = table_with(CRASH_LIMIT)
    assert blamed(table, set()) == [FINGERPRINT]
    # A box behind a partition reports crashes of upstreams that still run.
    assert blamed(table, {"i-0"}) == []


def test_one_upstream_counts_once_for_a_fingerprint() -> None:
    table = table_with(1)
    assert not record_crash(table, FINGERPRINT, "i-0")
    assert record_crash(table, FINGERPRINT, "i-1")
    assert not record_crash(table, FINGERPRINT, "i-1")
    assert crash_count(table, FINGERPRINT) == 2


def test_crashes_are_cleared_after_an_answer() -> None:
    for crashes in (1, 2):
        table = table_with(crashes)
        assert clear_crashes(table, FINGERPRINT)
        assert crash_count(table, FINGERPRINT) == 0
        assert not clear_crashes(table, FINGERPRINT)


def test_loss_of_a_failure_domain_does_not_evict_suspects() -> None:
    """Thousands of fingerprints with one crash must not evict those with several."""
    table = table_with(2)
    for number in range(3 * MAX_SINGLE_CRASHES):
        record_crash(table, number.to_bytes(8, "big"), "i-domain")
    assert len(table.single_crashes) == MAX_SINGLE_CRASHES
    assert crash_count(table, FINGERPRINT) == 2
    for number in range(2 * MAX_SINGLE_CRASHES, 3 * MAX_SINGLE_CRASHES):
        record_crash(table, number.to_bytes(8, "big"), "i-second")
    assert len(table.suspects) == MAX_SUSPECTS
