"""Requests of this box under which upstreams end: what is told, and what is refused."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination import content_watch
from ...links.messages import ContentServed, CrashReport
from ...model import ResultCode
from .checks import refusal
from .request_trace import content_fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...http1 import HttpRequest
    from ...links.messages import LinkMessage, QuarantineNews, SuspectNews
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .request_trace import RequestTrace
    from .state import GatewayState

logger = logging.getLogger(__name__)

MAX_REPORT_LINKS: Final = 2
"""Control boxes that are told of an end, which tell the others: one of them may be lost itself."""


def refuse_quarantined(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> None:
    """Refuse a request whose content is sent nowhere.

    Raises:
        ProblemError: If it is refused; it has not run.
    """
    watch = state.quarantine
    if not watch.held_until:
        return
    content = content_fingerprint(trace, request, permit)
    left = content_watch.seconds_held(watch, content, anyio.current_time())
    if left > 0.0:
        raise refusal(ResultCode.QUARANTINED, f"content {content.hex()}", left)


def count_crashes(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> int:
    """Return how many upstreams ended under a request's content, as far as this box knows."""
    if state.quarantine.is_calm:
        return 0
    content = content_fingerprint(trace, request, permit)
    return content_watch.ends_under(state.quarantine, content, anyio.current_time())


def record_crash(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    trace: RequestTrace,
    upstreams: Iterable[ForwardedUpstream],
    started_at: float,
) -> None:
    """Note that a run broke off, if the process of one of its upstreams has ended meanwhile.

    One end is noted for each run, also where several upstreams of its path were lost together.

    Args:
        state: The process's state.
        permit: What the request may do.
        request: The request.
        trace: What is learnt of it.
        upstreams: The upstreams that it was on.
        started_at: When the run was sent, on the monotonic clock.
    """
    ended = next((item for item in upstreams if item.ended_at >= started_at), None)
    if ended is None:
        return
    content = content_fingerprint(trace, request, permit)
    instance = ended.registration.instance
    ends = content_watch.note_own_end(state.quarantine, content, instance, anyio.current_time())
    if ends == 0:
        return
    _post(state, CrashReport(content=content, instance=instance))
    state.metrics.counters["ended-under-request"] += 1
    logger.warning(
        "upstream ended under a request",
        extra={
            "request": permit.facts.attempt_id,
            "content": content.hex(),
            "upstream": instance,
            "ends": ends,
        },
    )


def record_answered(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> None:
    """Note that a request was answered in full."""
    if state.quarantine.is_calm:
        return
    content = content_fingerprint(trace, request, permit)
    if content_watch.note_answered(state.quarantine, content):
        _post(state, ContentServed(content=content))


def handle_suspect_update(state: GatewayState, news: SuspectNews) -> None:
    """Take in that several upstreams have ended under a content, at this box or others."""
    content_watch.take_suspect(state.quarantine, news.content, news.ends, anyio.current_time())


def handle_quarantine_update(state: GatewayState, news: QuarantineNews) -> None:
    """Take in which contents are sent nowhere."""
    added = content_watch.take_held(state.quarantine, news.seconds_left, anyio.current_time())
    if added:
        logger.warning("content held", extra={"contents": [content.hex() for content in added]})


def _post(state: GatewayState, message: LinkMessage) -> None:
    """Tell the preferred control boxes."""
    if state.peers is None:
        return
    linked = [address for address in state.peers.ranked if address in state.peers.links]
    for address in linked[:MAX_REPORT_LINKS]:
        state.peers.links[address].post(message)
