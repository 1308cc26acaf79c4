"""Counts of attempts over random sequences of outcomes."""

from __future__ import annotations

import random

import pytest

from ledgeladder.routing.attempt_counts import AttemptCounts


@pytest.mark.parametrize("seed", range(50))
def test_request_that_may_have_run_never_counts_as_not_run_again(seed: int) -> None:
    """Failure: an attempt that no longer counted towards the limit counted as not sent."""
    rng = random.Random(seed)
    counts = AttemptCounts()
    lost = 0
    for _ in range(rng.randint(1, 12)):
        before = counts.may_have_run
        outcome = rng.choice(["not sent", "refused", "lost", "lost, first upstream exited"])
        if outcome != "not sent":
            counts.record_sent()
            assert counts.may_have_run
        if outcome == "refused":
            counts.record_refused()
            assert counts.may_have_run == before
        if outcome.endswith("exited"):
            counts.record_forgiven()
        lost += outcome.startswith("lost")
        assert counts.may_have_run == (lost > 0)
        assert 0 <= counts.counted <= lost
