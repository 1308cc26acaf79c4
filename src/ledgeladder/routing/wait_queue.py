"""Requests that wait until they can be served in a moment that is near.

Two patterns. All boxes lose their power at once and come back within a second: callers whose
streams were cut connect again as soon as a box listens, which is before it can be sure of its
document. And upstreams ask for rest, or take no more requests in this second: all copies of a range
of layers rest for a second, say, while most engines are free. Most callers come back only once, so
that a refusal ends the request. Held here, they are served a moment later, out of the time that
they have.

A request waits only while the moment is known to be near and leaves it time to be served; what
waits is bounded in number and bytes. When the moment has come, streams that were cut go first, then
the more urgent, then who came first, at the pace at which upstreams take them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.traffic import EngineProfile

MAX_WAIT_SHARE: Final = 0.5
"""Part of the time which a caller has that its request may wait; the rest is for serving it."""

DEFAULT_TIMEOUT_SECONDS: Final = 2.0
"""Time that a caller is taken to have if it names none, about the shortest after which people and
client libraries give up."""


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits."""

    ticket: int
    """Ascends with each request."""

    size: int
    """Bytes of its body."""

    release_interval: Callable[[], float]
    """Returns how long the next one is to wait after this one went on, in seconds."""

    is_resumed: bool
    """True for a stream that was cut: its caller has part of the answer."""

    rank: Callable[[], int | None]
    """Returns its priority, 0 being the most urgent; None while it cannot be served."""


class WaitQueue(msgspec.Struct, kw_only=True):
    """Requests that wait, in the order in which they came."""

    max_requests: int
    """Most requests that wait at once."""

    max_bytes: int
    """Most bytes that their bodies have together."""

    waiting: dict[int, WaitingRequest] = msgspec.field(default_factory=dict)
    """Requests by ticket."""

    queued_bytes: int = 0
    """Bytes of their bodies."""

    last_ticket: int = 0
    """Ticket that was given last."""


def wait_deadline(*, arrived_at: float, timeout: float | None, served_at: float) -> float:
    """Return until when a request may wait, on the clock of the arguments.

    Args:
        arrived_at: When it arrived, in seconds.
        timeout: How long its caller waits in all, in seconds; None if it does not say.
        served_at: When it can be served at the latest, as far as the box can know.

    Returns:
        The earlier of that and the end of the part of its time that may pass with waiting. It has
        passed already for a request that must not wait.

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
) -> WaitingRequest | None:
    """Let a request wait.

    Args:
        queue: The queue.
        size: Bytes of its body.
        release_interval: Returns how long the next one is to wait after it went on, in seconds.
        is_resumed: True for a stream that was cut.
        rank: Returns its priority; None while it cannot be served.

    Returns:
        The request, which must `remove_request` in the end; None if there is no room.
    """
    is_full = len(queue.waiting) >= queue.max_requests
    if is_full or queue.queued_bytes + size > queue.max_bytes:
        return None
    queue.last_ticket += 1
    entered = WaitingRequest(
        ticket=queue.last_ticket,
        size=size,
        release_interval=release_interval,
        is_resumed=is_resumed,
        rank=rank,
    )
    queue.waiting[entered.ticket] = entered
    queue.queued_bytes += size
    return entered


def remove_request(queue: WaitQueue, request: WaitingRequest) -> None:
    """Take a request out, whether it goes on, was refused or lost its caller; once or twice."""
    if queue.waiting.pop(request.ticket, None) is not None:
        queue.queued_bytes -= request.size


def next_request(queue: WaitQueue) -> WaitingRequest | None:
    """Return who goes first: who was cut, then the more urgent, then who came first.

    Returns:
        None if nobody can be served.
    """
    ranked = [
        (not request.is_resumed, rank, request.ticket)
        for request in queue.waiting.values()
        if (rank := request.rank()) is not None
    ]
    return queue.waiting[min(ranked)[-1]] if ranked else None


def prefill_seconds(profile: EngineProfile, prompt_tokens: int) -> float:
    """Return how long engines take to read a prompt, which a box lets pass before the next one.

    A box then adds one unread prompt at a time to what engines have to read. All boxes together
    stay below what the engines read as long as there are no more boxes than engines read side by
    side; beyond that the load of others, which is told by then, spreads the rest.

    Args:
        profile: Figures of the engines; their slowest kind of card counts.
        prompt_tokens: Tokens of the prompt.
    """
    factor = max((card.prefill_factor for card in profile.cards.values()), default=1.0)
    return prompt_tokens / profile.prefill_tokens_per_s * factor
