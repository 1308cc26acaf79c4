"""Admission control: limits of client accounts, a bounded queue, and refusals with a retry time.

Each box enforces an equal share of an account's limits, so the shares sum to at most the limit even
while boxes are down or partitioned. Shares don't follow demand. An account that is allowed fewer
concurrent requests than there are boxes gets one on each.

A request is queued only if it can still be answered before its deadline. The queue is ordered by
priority, then by the account's requests in progress here, then by deadline, so a large account
cannot starve a small one of the same priority.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from ..model import Problem, ResultCode

if TYPE_CHECKING:
    from ..model import ClientAccount

BURST_SECONDS: Final = 1.0
"""Burst size, as the time in which the rate refills it."""

DURATION_GAIN: Final = 0.1
"""Weight of a new duration in the moving average."""

DEFAULT_RANK: Final = 50
"""Rank of a request without a priority."""


class AccountUse(msgspec.Struct, kw_only=True):
    """Usage of one account on this box."""

    in_flight: int = 0
    """Requests admitted and not finished."""

    tokens: float = math.inf
    """Tokens of the rate limiter; a new account starts with a full burst."""

    refilled_at: float = 0.0
    """When `tokens` was last refilled, on the monotonic clock."""


class Ticket(msgspec.Struct, kw_only=True, eq=False):
    """One request that is waiting or in progress."""

    account: str
    """Client account."""

    rank: int
    """Rank of its priority, 0 first."""

    deadline: float
    """Deadline of its answer, on the monotonic clock."""

    admitted: bool = False
    """True once it is admitted."""

    arrived_at: float = 0.0
    """When it arrived, on the monotonic clock."""

    admitted_at: float = 0.0
    """When it was admitted, on the monotonic clock."""


class Admission(msgspec.Struct, kw_only=True):
    """Admission state of one box."""

    in_flight_limit: int
    """Maximum number of requests in progress."""

    queue_limit: int
    """Maximum number of waiting requests."""

    boxes: int = 1
    """Number of entry boxes that share the limits, including this one."""

    in_flight: int = 0
    """Requests in progress."""

    waiting: list[Ticket] = msgspec.field(default_factory=list)
    """Waiting requests, in order of arrival."""

    accounts: dict[str, AccountUse] = msgspec.field(default_factory=dict)
    """Usage by account."""

    mean_seconds: float = 0.5
    """Mean duration of a request, in seconds."""


def submit(
    admission: Admission, account: ClientAccount, ticket: Ticket, now: float
) -> Problem | None:
    """Admit, queue or refuse a request.

    Args:
        admission: The state.
        account: Its client account.
        ticket: The request; its `admitted` is set if it is admitted at once.
        now: Monotonic time in seconds.

    Returns:
        The refusal, or None if the request was admitted or queued.
    """
    use = admission.accounts.setdefault(account.name, AccountUse(refilled_at=now))
    problem = _over_limits(admission, account, use, now)
    if problem is not None:
        return problem
    ticket.arrived_at = now
    if admission.in_flight < admission.in_flight_limit:
        _admit(admission, ticket, now)
        use.tokens -= 1.0
        return None
    wait = expected_wait(admission, ticket.rank)
    if len(admission.waiting) >= admission.queue_limit:
        detail = "too many requests wait"
        return Problem(code=ResultCode.QUEUE_FULL, detail=detail, retry_after=wait)
    if now + wait + admission.mean_seconds > ticket.deadline:
        detail = f"about {wait:.1f} s of waiting would pass the deadline"
        return Problem(code=ResultCode.DEADLINE_UNREACHABLE, detail=detail, retry_after=wait)
    admission.waiting.append(ticket)
    use.tokens -= 1.0
    return None


def expected_wait(admission: Admission, rank: int) -> float:
    """Estimate how long a request of a rank would wait, in seconds."""
    ahead = sum(1 for ticket in admission.waiting if ticket.rank <= rank)
    return (ahead + 1) * admission.mean_seconds / admission.in_flight_limit


def _over_limits(
    admission: Admission, account: ClientAccount, use: AccountUse, now: float
) -> Problem | None:
    rate = account.rate / admission.boxes
    burst = max(1.0, rate * BURST_SECONDS)
    use.tokens = min(burst, use.tokens + (now - use.refilled_at) * rate)
    use.refilled_at = now
    if use.tokens < 1.0:
        retry_after = (1.0 - use.tokens) / rate
        detail = f"account {account.name} is limited to {account.rate:g} requests a second"
        return Problem(code=ResultCode.RATE_EXCEEDED, detail=detail, retry_after=retry_after)
    share = max(1, account.concurrency // admission.boxes)
    if use.in_flight + _count_waiting(admission, account.name) >= share:
        detail = f"account {account.name} is limited to {account.concurrency} requests in progress"
        return Problem(
            code=ResultCode.CONCURRENCY_EXCEEDED,
            detail=detail,
            retry_after=admission.mean_seconds,
        )
    return None


def _count_waiting(admission: Admission, account: str) -> int:
    return sum(1 for ticket in admission.waiting if ticket.account == account)


def _admit(admission: Admission, ticket: Ticket, now: float) -> None:
    ticket.admitted = True
    ticket.admitted_at = now
    admission.in_flight += 1
    admission.accounts[ticket.account].in_flight += 1


def finish(admission: Admission, ticket: Ticket, now: float) -> list[Ticket]:
    """Record that a request ended, or that a waiting one was cancelled.

    Args:
        admission: The state.
        ticket: The request.
        now: Monotonic time in seconds.

    Returns:
        Waiting requests that are now admitted.
    """
    if not ticket.admitted:
        if ticket in admission.waiting:
            admission.waiting.remove(ticket)
        return []
    admission.in_flight -= 1
    admission.accounts[ticket.account].in_flight -= 1
    duration = now - ticket.admitted_at
    admission.mean_seconds += DURATION_GAIN * (duration - admission.mean_seconds)
    released: list[Ticket] = []
    while admission.waiting and admission.in_flight < admission.in_flight_limit:
        next_ticket = min(admission.waiting, key=lambda item: _order(admission, item))
        admission.waiting.remove(next_ticket)
        _admit(admission, next_ticket, now)
        released.append(next_ticket)
    return released


def _order(admission: Admission, ticket: Ticket) -> tuple[int, int, float]:
    return (ticket.rank, admission.accounts[ticket.account].in_flight, ticket.deadline)
