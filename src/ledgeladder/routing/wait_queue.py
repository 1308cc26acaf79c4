"""Queues requests that cannot be served yet but will be shortly.

Requests wait after a restart until the box has a current document, and while all suitable upstreams
back off or are at their rate limit. Many callers retry only once, so a refusal would fail them.

A request waits only if enough of its timeout is left to serve it, and the queue is bounded in
number and bytes. Requests are released at the rate at which upstreams accept them: interrupted
streams first, then by priority, then by deadline if they have one, then by arrival.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.traffic import EngineProfile

MAX_WAIT_SHARE: Final = 0.5
"""Part of a request's timeout that it may wait; the rest is for serving it."""

DEFAULT_TIMEOUT_SECONDS: Final = 2.0
"""Assumed timeout of a caller that names none: about the shortest after which people and client
libraries give up."""


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A waiting request."""

    ticket: int
    """Ascends with each request."""

    size: int
    """Bytes of its body."""

    release_interval: Callable[[], float]
    """Returns the delay between the release of this request and of the next one, in seconds."""

    is_resumed: bool
    """True for an interrupted stream, whose caller has part of the answer."""

    rank: Callable[[], int | None]
    """Returns its priority, 0 being the most urgent; None while it cannot be served."""

    deadline: float = math.inf
    """Deadline on any clock, which orders requests of one priority; infinity if arrival does."""


class WaitQueue(msgspec.Struct, kw_only=True):
    """Waiting requests, in order of arrival."""

    max_requests: int
    """Maximum number of waiting requests."""

    max_bytes: int
    """Maximum total size of their bodies, in bytes."""

    waiting: dict[int, WaitingRequest] = msgspec.field(default_factory=dict)
    """Requests by ticket."""

    queued_bytes: int = 0
    """Total size of their bodies, in bytes."""

    last_ticket: int = 0
    """Ticket assigned last."""


def wait_deadline(*, arrived_at: float, timeout: float | None, served_at: float) -> float:
    """Return the time until which a request may wait, on the clock of the arguments.

    Args:
        arrived_at: When it arrived, in seconds.
        timeout: Total timeout of its caller, in seconds; None if unknown.
        served_at: Latest time at which it is expected to be servable.

    Returns:
        The earlier of `served_at` and the end of its waiting time. It is in the past for a request
        that must not wait.

    >>> wait_deadline(arrived_at=10.0, timeout=20.0, served_at=11.0)
    11.0
    >>> wait_deadline(arrived_at=10.0, timeout=0.6, served_at=11.0)
    10.3
    """
    seconds = DEFAULT_TIMEOUT_SECONDS if timeout is None else timeout
    return min(served_at, arrived_at + seconds * MAX_WAIT_SHARE)


def enqueue(
    queue: WaitQueue,
    *,
    size: int,
    release_interval: Callable[[], float],
    is_resumed: bool,
    rank: Callable[[], int | None],
    deadline: float = math.inf,
) -> WaitingRequest | None:
    """Add a request to the queue.

    Args:
        queue: The queue.
        size: Bytes of its body.
        release_interval: Returns the delay until the next release, in seconds.
        is_resumed: True for an interrupted stream.
        rank: Returns its priority, 0 being the most urgent; None while it cannot be served.
        deadline: Deadline on any clock, as in `WaitingRequest`.

    Returns:
        The request, to be passed to `remove_request` in the end; None if the queue is full.
    """
    is_full = len(queue.waiting) >= queue.max_requests
    if is_full or queue.queued_bytes + size > queue.max_bytes:
        return None
    queue.last_ticket += 1
    request = WaitingRequest(
        ticket=queue.last_ticket,
        size=size,
        release_interval=release_interval,
        is_resumed=is_resumed,
        rank=rank,
        deadline=deadline,
    )
    queue.waiting[request.ticket] = request
    queue.queued_bytes += size
    return request


def remove_request(queue: WaitQueue, request: WaitingRequest) -> None:
    """Remove a request that was released, refused or cancelled; further calls do nothing."""
    if queue.waiting.pop(request.ticket, None) is not None:
        queue.queued_bytes -= request.size


def next_request(queue: WaitQueue) -> WaitingRequest | None:
    """Return the next request: interrupted first, then by priority, deadline and arrival.

    Returns:
        None if no request can be served.
    """
    ranked = [
        (not request.is_resumed, rank, request.deadline, request.ticket)
        for request in queue.waiting.values()
        if (rank := request.rank()) is not None
    ]
    return queue.waiting[min(ranked)[-1]] if ranked else None


def prefill_seconds(profile: EngineProfile, prompt_tokens: int) -> float:
    """Return the prefill time of a prompt, in seconds.

    A box waits for this time between two releases, so it adds one prompt at a time to the engines'
    prefill work.

    Args:
        profile: Performance of the engines; the slowest kind of card counts.
        prompt_tokens: Tokens of the prompt.
    """
    factor = max((card.prefill_factor for card in profile.cards.values()), default=1.0)
    return prompt_tokens / profile.prefill_tokens_per_s * factor
