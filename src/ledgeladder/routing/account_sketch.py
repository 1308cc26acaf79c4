"""Finds the client accounts with the most demand, in memory that does not grow with accounts.

This is the space-saving algorithm (Metwally et al., 2005) over weights that decay exponentially. As
all weights decay alike, their order holds while they are stored undecayed (forward decay, Cormode
et al., 2009). An account that asks for more than `1 / MAX_ACCOUNTS` of all tokens is always found.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

MAX_ACCOUNTS: Final = 32
"""Tracked accounts; several times those in a report, since the error of a weight is at most the sum
divided by this number."""

TIME_CONSTANT_SECONDS: Final = 1.0
"""Time constant of the decay. About the delay of a report to all entry boxes plus the target
latency of a stream: shorter, and the rates of this box change faster than the others learn of them;
longer, and requests of a wave that has ended still count when their answers have begun."""

MAX_AGE_CONSTANTS: Final = 30.0
"""Time constants after which stored weights are decayed, long before the exponential overflows."""

MIN_TOKENS_PER_SECOND: Final = 1.0
"""Lower rates are left out; no request is that small, so they are remains of earlier ones."""


class AccountSketch(msgspec.Struct, kw_only=True):
    """Tracked accounts of one priority."""

    weights: dict[str, float] = msgspec.field(default_factory=dict)
    """Upper bound of the tokens of each account, as of `since`: later ones count more."""

    errors: dict[str, float] = msgspec.field(default_factory=dict)
    """Part of each weight that may belong to accounts that are no longer tracked."""

    since: float = 0.0
    """Monotonic time at which one token has a weight of 1."""


def record_tokens(sketch: AccountSketch, account: str, tokens: float, now: float) -> None:
    """Record tokens that an account asks for.

    Args:
        sketch: The tracked accounts.
        account: Name of the client account.
        tokens: Prompt and expected answer tokens.
        now: Monotonic time.
    """
    _decay_weights(sketch, now)
    weight = tokens * math.exp((now - sketch.since) / TIME_CONSTANT_SECONDS)
    if account not in sketch.weights and len(sketch.weights) >= MAX_ACCOUNTS:
        lightest = min(sketch.weights, key=sketch.weights.__getitem__)
        error = sketch.weights.pop(lightest)
        del sketch.errors[lightest]
        sketch.weights[account] = sketch.errors[account] = error
    sketch.weights[account] = sketch.weights.get(account, 0.0) + weight
    sketch.errors.setdefault(account, 0.0)


def heaviest_accounts(sketch: AccountSketch, now: float) -> dict[str, float]:
    """Return the tokens per second that tracked accounts asked for at least.

    Lower bounds are returned, since accounts that come and go inherit the weight of others.

    Args:
        sketch: The tracked accounts.
        now: Monotonic time.
    """
    age = (now - sketch.since) / TIME_CONSTANT_SECONDS
    factor = math.exp(-age) / TIME_CONSTANT_SECONDS
    rates = {
        account: (weight - sketch.errors[account]) * factor
        for account, weight in sketch.weights.items()
    }
    return {account: rate for account, rate in rates.items() if rate >= MIN_TOKENS_PER_SECOND}


def _decay_weights(sketch: AccountSketch, now: float) -> None:
    """Move `since` to now before weights grow too large."""
    age = (now - sketch.since) / TIME_CONSTANT_SECONDS
    if age <= MAX_AGE_CONSTANTS:
        return
    factor = math.exp(-age)
    kept = {account for account, weight in sketch.weights.items() if weight * factor > 1e-6}
    sketch.weights = {account: sketch.weights[account] * factor for account in kept}
    sketch.errors = {account: sketch.errors[account] * factor for account in kept}
    sketch.since = now
