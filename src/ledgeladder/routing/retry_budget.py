"""A budget that keeps retries to a share of first tries, so that a failure makes no storm."""

from __future__ import annotations

import msgspec


class RetryBudget(msgspec.Struct, kw_only=True):
    """Retries that may still be made."""

    share: float = 0.1
    """Retries allowed per first try."""

    reserve: float = 10.0
    """Most retries that can be saved up; also what a new process starts with."""

    balance: float = 10.0
    """Retries that may be made now."""


def record_first_try(budget: RetryBudget) -> None:
    """Earn a share of a retry."""
    budget.balance = min(budget.balance + budget.share, budget.reserve)


def acquire_retry(budget: RetryBudget) -> bool:
    """Spend one retry.

    Returns:
        False if the budget is spent and the request must be given up.

    >>> budget = RetryBudget(balance=1.0)
    >>> acquire_retry(budget), acquire_retry(budget)
    (True, False)
    """
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    return True
