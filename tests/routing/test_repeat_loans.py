"""Retry quota: the reserve is never overspent, and boxes near a loss get enough retries.

Modeled on the simultaneous loss of several engines of one failure domain under many streams.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from ledgeladder.routing.repeat_loans import (
    BASE_QUOTA_SHARE,
    QUOTA_SECONDS,
    QuotaLedger,
    grant_quota,
    kept_quota,
)
from ledgeladder.routing.repeat_window import (
    USABLE_SHARE,
    RetryWindow,
    acquire_local_retry,
    add_quota,
    release_retry,
)

RESERVE = 310.0
WINDOW = 10.0
BOXES = 63
VOTERS = 5


def ledger(opened_at: float = -100.0) -> QuotaLedger:
    grantable = RESERVE * (1.0 - BASE_QUOTA_SHARE) * USABLE_SHARE / VOTERS
    return QuotaLedger(grantable=grantable, window=WINDOW, opened_at=opened_at)


def windows(ratio: float = 0.0) -> list[RetryWindow]:
    return [RetryWindow(ratio=ratio, reserve=RESERVE, seconds=WINDOW) for _ in range(BOXES)]


def use_retry(
    box: RetryWindow,
    ledgers: list[QuotaLedger],
    now: float,
    *,
    started: bool = True,
    begun: int = 0,
) -> bool:
    """Use a retry as a box does: from its own share, then from any voter's grant."""
    if acquire_local_retry(box, now, BOXES, started=started, begun=begun):
        return True
    for voter in ledgers:
        count = grant_quota(voter, 1, now, started=started)
        if count:
            add_quota(box, count, now + QUOTA_SECONDS, started=started)
            return acquire_local_retry(box, now, BOXES, started=started, begun=begun) is not None
    return False


def test_all_streams_of_a_lost_failure_domain_are_retried() -> None:
    rng = random.Random(3)
    boxes, ledgers = windows(ratio=0.2), [ledger() for _ in range(VOTERS)]
    for box in boxes:
        box.first_attempts.extend([0.0] * 13)
    needs = [min(13, 2 + rng.randrange(7)) for _ in range(20)]
    assert sum(needs) >= 80
    sent = [
        sum(use_retry(box, ledgers, 15.0 - 14.0 + step * 0.1) for step in range(need))
        for box, need in zip(boxes, needs, strict=False)
    ]
    assert sent == needs
    even = windows(ratio=0.2)
    for box in even:
        box.first_attempts.extend([0.0] * 13)
    own = [
        sum(acquire_local_retry(box, 1.0, BOXES) is not None for _ in range(need))
        for box, need in zip(even, needs, strict=False)
    ]
    assert sum(own) < sum(needs)


def play_faults(rng: random.Random, choose: Callable[[float], dict[str, Any]]) -> None:
    """Use retries for a minute while boxes and voters restart, voters are replaced, and links are
    cut; check that no window holds more than the reserve.

    Args:
        rng: Random source.
        choose: Returns the purpose of a retry at a time, as arguments of `use_retry`.
    """
    boxes, ledgers = windows(), [ledger(0.0) for _ in range(VOTERS)]
    spent: list[float] = []
    restarts = 0
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(60.0)
        hot = rng.randrange(20) if rng.random() < 0.8 else rng.randrange(BOXES)
        reachable = rng.sample(ledgers, rng.randrange(VOTERS + 1))
        if use_retry(boxes[hot], reachable, now, **choose(now)):
            spent.append(now)
        if rng.random() < 0.002:
            ledgers[rng.randrange(VOTERS)] = ledger(now)
        if rng.random() < 0.0005:
            # A box that restarts forgets the use of its own share; its granted quota is lost.
            restarts += 1
            boxes[rng.randrange(BOXES)] = windows()[0]
    forgotten_retries = restarts * (RESERVE * BASE_QUOTA_SHARE / BOXES + 1)
    for start in spent:
        assert sum(start <= at < start + WINDOW for at in spent) <= RESERVE + forgotten_retries


@pytest.mark.parametrize("seed", range(25))
def test_no_window_ever_holds_more_than_the_reserve(seed: int) -> None:
    """Boxes and voters restart, voters are replaced, and links are cut."""
    play_faults(random.Random(seed), lambda _now: {})


@pytest.mark.parametrize("seed", range(25))
def test_retries_of_both_purposes_stay_within_the_reserve(seed: int) -> None:
    """The same faults as above, with refused new requests and interrupted streams in turns."""
    rng = random.Random(seed)

    def choose(now: float) -> dict[str, Any]:
        started = rng.random() < 0.5 * (now // 15.0 % 2)
        return {"started": started, "begun": rng.randrange(4)}

    play_faults(rng, choose)


@pytest.mark.parametrize("seed", range(25))
def test_new_requests_never_use_what_is_kept(seed: int) -> None:
    """While a begun stream asks in each accounting time, half of a voter's part is theirs."""
    rng = random.Random(seed)
    voter, now, asked_at = ledger(0.0), 0.0, 0.0
    span = voter.accounting_seconds
    grants: list[tuple[float, int]] = []
    while now < 120.0:
        now += rng.expovariate(5.0)
        started = rng.random() < 0.1 or now - asked_at > span / 2
        asked_at = now if started else asked_at
        count = grant_quota(voter, 1 + rng.randrange(8), now, started=started)
        if not started:
            grants.append((now, count))
    for start, _count in grants:
        used = sum(count for at, count in grants if start <= at < start + span)
        assert used <= voter.grantable / 2


def test_interrupted_streams_get_retries_after_a_wave_of_refused_requests() -> None:
    """First come, first served would leave them nothing: the wave asks for more than there is."""
    voter = ledger()
    grant_quota(voter, 1, -1.0)
    wave = sum(grant_quota(voter, 8, 0.1 * step, started=False) for step in range(20))
    loss = sum(grant_quota(voter, 8, 2.0 + 0.01 * step) for step in range(20))
    assert wave == int(voter.grantable / 2)
    assert wave + loss == int(voter.grantable) - 1
    served_in_order = ledger()
    assert sum(grant_quota(served_in_order, 8, 0.1 * step) for step in range(20)) > wave
    assert grant_quota(served_in_order, 8, 2.0) == 0


def test_kept_quota_is_usable_while_no_begun_stream_needs_it() -> None:
    voter, span = ledger(0.0), WINDOW + QUOTA_SECONDS
    kept = [kept_quota(voter, span * (step + 0.5)) for step in range(8)]
    assert kept[0] == voter.grantable / 2
    assert all(later == earlier / 2 for earlier, later in zip(kept, kept[1:], strict=False))
    assert grant_quota(voter, 1000, span * 7.5, started=False) == int(voter.grantable - kept[7])
    assert kept[7] < 1.0


def test_request_for_a_begun_stream_restores_what_is_kept() -> None:
    voter, late = ledger(0.0), 100.0 * WINDOW
    assert kept_quota(voter, late) < 1.0
    assert grant_quota(voter, 1, late) == 1
    assert kept_quota(voter, late) == voter.grantable / 2
    assert grant_quota(voter, 1000, late, started=False) == int(voter.grantable / 2)


def test_suspended_voter_keeps_its_count_of_grants() -> None:
    """A clock that jumps ahead ends the accounting time of all grants at once, and no sooner."""
    voter = ledger(0.0)
    total = int(voter.grantable)
    assert grant_quota(voter, 1000, 20.0) == total
    assert grant_quota(voter, 1000, 20.0 + WINDOW, started=False) == 0
    assert grant_quota(voter, 1000, 1e6, started=False) == total


def test_quota_of_begun_streams_is_not_used_by_new_requests() -> None:
    box = RetryWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    add_quota(box, 1, 1.0)
    assert acquire_local_retry(box, 0.1, BOXES, started=False) is None
    add_quota(box, 1, 1.0, started=False)
    retry = acquire_local_retry(box, 0.1, BOXES, started=False)
    assert retry is not None
    release_retry(box, retry)
    taken = [acquire_local_retry(box, 0.2, BOXES) for _ in range(3)]
    assert [item is not None for item in taken] == [True, True, False]


def test_new_voter_grants_nothing_for_a_window() -> None:
    voter = ledger(opened_at=5.0)
    assert grant_quota(voter, 1, 5.0 + WINDOW + QUOTA_SECONDS - 0.1) == 0
    assert grant_quota(voter, 1, 5.0 + WINDOW + QUOTA_SECONDS + 0.1) == 1


def test_granted_quota_expires_and_is_granted_again_after_a_window() -> None:
    voter = ledger()
    total = int(voter.grantable)
    assert grant_quota(voter, 1000, 0.0) == total
    assert grant_quota(voter, 1, WINDOW) == 0
    assert grant_quota(voter, 1000, WINDOW + QUOTA_SECONDS) == total
    box = RetryWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    add_quota(box, 2, 1.0)
    assert acquire_local_retry(box, 0.5, BOXES) is not None
    assert acquire_local_retry(box, 1.0, BOXES) is None


def test_released_quota_can_be_used_later() -> None:
    box = RetryWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    add_quota(box, 1, 1.0)
    retry = acquire_local_retry(box, 0.1, BOXES)
    assert retry is not None
    assert retry.quota_until == 1.0
    release_retry(box, retry)
    assert acquire_local_retry(box, 0.2, BOXES) == retry
    assert acquire_local_retry(box, 0.3, BOXES) is None
