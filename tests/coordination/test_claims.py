"""Claims under random histories: at most one attempt per key is ever granted."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest

from ledgeladder.coordination import claims as table_module
from ledgeladder.coordination import state_machine
from ledgeladder.coordination.claims import CLAIM_WINDOW_MS, key_time_ms
from ledgeladder.coordination.commands import (
    ClaimCommand,
    ClaimResult,
    ClaimVerdict,
    CompleteCommand,
    ReleaseCommand,
)
from ledgeladder.coordination.state_machine import ClusterState, apply_command
from standins.keys import new_key

START_MS = 1_800_000_000_000


def claim(state: ClusterState, key: str, attempt: str, at: int, **other: object) -> ClaimResult:
    command = ClaimCommand(
        account=str(other.get("account", "a")),
        key=key,
        body_digest=bytes(other.get("digest", b"d")),  # type: ignore[arg-type]
        attempt=attempt,
        deadline_ms=at + 5000,
        time_ms=at,
    )
    result = apply_command(state, command)
    assert isinstance(result, ClaimResult)
    return result


def complete(state: ClusterState, key: str, attempt: str, at: int, body: bytes = b"ok") -> None:
    apply_command(
        state,
        CompleteCommand(
            account="a",
            key=key,
            attempt=attempt,
            status=200 if body else 0,
            content_type="text/plain",
            body=body,
            time_ms=at,
        ),
    )


def release(state: ClusterState, key: str, attempt: str, at: int) -> None:
    apply_command(state, ReleaseCommand(account="a", key=key, attempt=attempt, time_ms=at))


def run_history(seed: int) -> None:
    """Run claims, answers, releases and clock jumps in random order."""
    rng = random.Random(seed)
    state = ClusterState()
    keys = [new_key(START_MS + number * 1000) for number in range(4)]
    granted: dict[str, set[str]] = defaultdict(set)
    dispatched: dict[str, int] = defaultdict(int)
    at = START_MS
    for step in range(200):
        at += rng.choice([0, 10, 1000, 60_000, 600_000, -30_000])
        key = rng.choice(keys)
        attempt = f"attempt-{rng.randrange(6)}-{key}"
        roll = rng.random()
        if roll < 0.6:
            if claim(state, key, attempt, at).verdict is ClaimVerdict.GRANTED:
                granted[key].add(attempt)
        elif roll < 0.8 and granted[key]:
            winner = rng.choice(sorted(granted[key]))
            dispatched[key] += 1
            complete(state, key, winner, at, rng.choice([b"ok", b""]))
        elif granted[key] and not dispatched[key]:
            # A released request was certainly not run, so another attempt may be granted.
            holder = sorted(granted[key])[0]
            release(state, key, holder, at)
            granted[key].discard(holder)
        assert len(granted[key]) <= 1, f"seed {seed}, step {step}: two attempts hold {key}"
        if rng.random() < 0.1:
            state = state_machine.decode_state(state_machine.encode_state(state))


def test_at_most_one_grant_in_random_histories() -> None:
    for seed in range(500):
        run_history(seed)


def test_detects_a_reused_claim(monkeypatch: pytest.MonkeyPatch) -> None:
    original = table_module._evaluate_existing

    def grant_unknown(existing, command, clock_ms):
        verdict = original(existing, command, clock_ms)
        if verdict.verdict is ClaimVerdict.UNKNOWN:
            return ClaimResult(verdict=ClaimVerdict.GRANTED)
        return verdict

    monkeypatch.setattr(table_module, "_evaluate_existing", grant_unknown)
    with pytest.raises(AssertionError, match="two attempts"):
        test_at_most_one_grant_in_random_histories()


def test_detects_claims_dropped_before_their_keys_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def drop_without_refusing(table, clock_ms):
        for account in list(table.claims):
            for key in list(table.claims[account]):
                if (key_time_ms(key) or 0) < clock_ms - CLAIM_WINDOW_MS:
                    table_module._drop_claim(table, account, key)

    monkeypatch.setattr(state_machine, "expire", drop_without_refusing)
    with pytest.raises(AssertionError, match="two attempts"):
        test_at_most_one_grant_in_random_histories()


def test_verdicts() -> None:
    state = ClusterState()
    key = new_key(START_MS)
    assert claim(state, key, "one", START_MS).verdict is ClaimVerdict.GRANTED
    assert claim(state, key, "one", START_MS).verdict is ClaimVerdict.GRANTED
    running = claim(state, key.upper(), "two", START_MS + 1000)
    assert (running.verdict, running.retry_ms) == (ClaimVerdict.RUNNING, 4000)
    assert claim(state, key, "two", START_MS, digest=b"x").verdict is ClaimVerdict.MISMATCH
    assert claim(state, key, "two", START_MS + 6000).verdict is ClaimVerdict.UNKNOWN
    assert claim(state, key, "z", START_MS, account="b").verdict is ClaimVerdict.GRANTED
    complete(state, key, "one", START_MS + 7000)
    answered = claim(state, key, "two", START_MS + 8000)
    assert (answered.verdict, answered.body) == (ClaimVerdict.ANSWERED, b"ok")


def test_expiry_refuses_and_frees_memory() -> None:
    state = ClusterState()
    keys = [new_key(START_MS + number) for number in range(1000)]
    for key in keys:
        claim(state, key, "one", START_MS)
        complete(state, key, "one", START_MS, b"x" * 100)
    assert (state.claims.count, state.claims.answer_bytes) == (1000, 100_000)
    later = START_MS + CLAIM_WINDOW_MS + 120_000
    assert claim(state, keys[0], "two", later).verdict is ClaimVerdict.EXPIRED
    assert (state.claims.count, state.claims.answer_bytes) == (0, 0)
    assert not state.claims.claims
    # The clock of a later leader lags, but dropped keys stay refused.
    assert claim(state, keys[0], "two", START_MS).verdict is ClaimVerdict.EXPIRED


def test_full_table_refuses_new_claims_only(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_module, "CLAIM_LIMIT", 2)
    state = ClusterState()
    first, second, third = (new_key(START_MS) for _ in range(3))
    claim(state, first, "one", START_MS)
    claim(state, second, "one", START_MS)
    assert claim(state, third, "one", START_MS).verdict is ClaimVerdict.FULL
    assert claim(state, first, "one", START_MS).verdict is ClaimVerdict.GRANTED


def test_request_with_a_long_answer_is_not_run_again() -> None:
    state = ClusterState()
    key = new_key(START_MS)
    claim(state, key, "one", START_MS)
    complete(state, key, "one", START_MS, b"x" * 100_000)
    assert claim(state, key, "two", START_MS).verdict is ClaimVerdict.UNKNOWN
