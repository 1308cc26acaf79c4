"""Limits retries to a share of first attempts, to prevent retry storms."""

from __future__ import annotations

import msgspec


class RetryBudget(msgspec.Struct, kw_only=True):
    """Token bucket of retries."""

    share: float = 0.1
    """Retries allowed per first attempt."""

    reserve: float = 10.0
    """Maximum balance."""

    balance: float = 10.0
    """Retries available now."""


def record_first_attempt(budget: RetryBudget) -> None:
    """Record a first attempt, which adds `share` to the balance."""
    budget.balance = min(budget.balance + budget.share, budget.reserve)


def acquire_retry(budget: RetryBudget) -> bool:
    """Take one retry from the budget.

    Returns:
        False if the budget is used up and the request must fail.

    >>> budget = RetryBudget(balance=1.0)
    >>> acquire_retry(budget), acquire_retry(budget)
    (True, False)
    """
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    return True
