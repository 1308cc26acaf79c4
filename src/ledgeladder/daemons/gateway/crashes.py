"""Requests under which upstreams end: what is told, what is refused, how suspects are sent on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.crash_book import CRASH_LIMIT, count_ends, forget_content, note_end
from ...links.messages import ContentServed, CrashReport
from ...model import ResultCode
from .checks import refusal
from .notes import content_mark

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...http1 import HttpRequest
    from ...links.messages import LinkMessage, QuarantineNews, SuspectNews
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .notes import RequestNotes
    from .state import GatewayState

logger = logging.getLogger(__name__)

UNCONFIRMED_SECONDS: Final = 10.0
"""How long a content is sent nowhere after `CRASH_LIMIT` ends that are not confirmed yet. Control
boxes confirm them within 5 s, three missed heartbeats and a look; what they do not confirm was a
cut that refuses connections, and is let go."""

SUSPECTS_REMEMBERED: Final = 1024
"""Suspects of other boxes that are remembered, the newest."""

REPORT_LINKS: Final = 2
"""Control boxes that are told of an end, which tell the others: one of them may be lost itself."""


def refuse_if_held(
    state: GatewayState, permit: Permit, request: HttpRequest, notes: RequestNotes
) -> None:
    """Refuse a request whose content is sent nowhere.

    Raises:
        ProblemError: If it is refused; it has not run.
    """
    if not state.quarantine:
        return
    content = content_mark(notes, request, permit.facts, permit.account)
    left = hold_left(state, content)
    if left > 0.0:
        raise refusal(ResultCode.QUARANTINED, f"content {content.hex()}", left)


def hold_left(state: GatewayState, content: bytes) -> float:
    """Return for how many more seconds a content is sent nowhere; 0 if it may be sent."""
    until = state.quarantine.get(content)
    if until is None:
        return 0.0
    left = until - anyio.current_time()
    if left <= 0.0:
        del state.quarantine[content]
        return 0.0
    return left


def suspicion(
    state: GatewayState, permit: Permit, request: HttpRequest, notes: RequestNotes
) -> int:
    """Return how many upstreams ended under a request's content, as far as this box knows.

    Nothing is computed while nothing is suspected.
    """
    book = state.crashes
    if not (book.singles or book.suspects or state.told_suspects or state.quarantine):
        return 0
    content = content_mark(notes, request, permit.facts, permit.account)
    if hold_left(state, content) > 0.0:
        return CRASH_LIMIT
    return max(state.told_suspects.get(content, 0), count_ends(book, content))


def note_run_end(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    notes: RequestNotes,
    upstreams: Iterable[ForwardedUpstream],
    started_at: float,
) -> None:
    """Note that a run broke off, if the process of one of its upstreams has ended meanwhile.

    One end is noted for each run, also where several upstreams of its path were lost together.

    Args:
        state: The process's state.
        permit: What the request may do.
        request: The request.
        notes: What is learnt of it.
        upstreams: The upstreams that it was on.
        started_at: When the run was sent, on the monotonic clock.
    """
    ended = next((item for item in upstreams if item.ended_at >= started_at), None)
    if ended is None:
        return
    content = content_mark(notes, request, permit.facts, permit.account)
    instance = ended.registration.instance
    if not note_end(state.crashes, content, instance, anyio.current_time()):
        return
    _post(state, CrashReport(content=content, instance=instance))
    state.metrics.counters["ended-under-request"] += 1
    count = count_ends(state.crashes, content)
    logger.warning(
        "upstream ended under a request",
        extra={
            "request": permit.facts.attempt_id,
            "content": content.hex(),
            "upstream": instance,
            "ends": count,
        },
    )
    if count >= CRASH_LIMIT:
        _hold(state, content)


def _hold(state: GatewayState, content: bytes) -> None:
    """Send a content nowhere until the control boxes have confirmed that it is to blame."""
    forget_content(state.crashes, content)
    state.told_suspects.pop(content, None)
    until = anyio.current_time() + UNCONFIRMED_SECONDS
    state.quarantine[content] = max(until, state.quarantine.get(content, until))


def note_answered(
    state: GatewayState, permit: Permit, request: HttpRequest, notes: RequestNotes
) -> None:
    """Note that a request was answered in full: the ends under its content had other causes."""
    if suspicion(state, permit, request, notes) == 0:
        return
    content = content_mark(notes, request, permit.facts, permit.account)
    forget_content(state.crashes, content)
    state.told_suspects.pop(content, None)
    _post(state, ContentServed(content=content))


def take_suspect(state: GatewayState, news: SuspectNews) -> None:
    """Take in that several upstreams have ended under a content, at this box or others."""
    if news.ends >= CRASH_LIMIT:
        _hold(state, news.content)
        return
    state.told_suspects[news.content] = news.ends
    while len(state.told_suspects) > SUSPECTS_REMEMBERED:
        del state.told_suspects[next(iter(state.told_suspects))]


def take_quarantine(state: GatewayState, news: QuarantineNews) -> None:
    """Take in which contents are sent nowhere, and for how long."""
    now = anyio.current_time()
    added = [content for content in news.seconds_left if content not in state.quarantine]
    for content, seconds in news.seconds_left.items():
        state.quarantine[content] = now + seconds
    if added:
        logger.warning("content held", extra={"contents": [content.hex() for content in added]})


def _post(state: GatewayState, message: LinkMessage) -> None:
    """Tell the preferred control boxes."""
    if state.peers is None:
        return
    linked = [address for address in state.peers.ranked if address in state.peers.links]
    for address in linked[:REPORT_LINKS]:
        state.peers.links[address].post(message)
