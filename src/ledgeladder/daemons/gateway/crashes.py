"""Reports requests of this box that crash upstreams, and refuses quarantined ones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination import content_watch
from ...links.messages import ContentServed, CrashReport
from ...model import ResultCode
from .checks import refusal
from .notes import content_fingerprint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...http1 import HttpRequest
    from ...links.messages import LinkMessage, QuarantineUpdate, SuspectUpdate
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .notes import RequestTrace
    from .state import GatewayState

logger = logging.getLogger(__name__)

MAX_REPORT_LINKS: Final = 2
"""Number of control boxes to which a crash is reported, in case one of them is lost. They inform
the others."""


def refuse_quarantined(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> None:
    """Refuse a request whose content is quarantined.

    Raises:
        ProblemError: If it is refused. No upstream has run it.
    """
    quarantine = state.quarantine
    if not quarantine.quarantined_until:
        return
    fingerprint = content_fingerprint(trace, request, permit)
    seconds_left = content_watch.quarantine_seconds_left(
        quarantine, fingerprint, anyio.current_time()
    )
    if seconds_left > 0.0:
        raise refusal(ResultCode.QUARANTINED, f"content {fingerprint.hex()}", seconds_left)


def count_crashes(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> int:
    """Return how many upstreams the request content has crashed, as far as this box knows."""
    if state.quarantine.is_empty:
        return 0
    fingerprint = content_fingerprint(trace, request, permit)
    return content_watch.count_crashes_under(state.quarantine, fingerprint, anyio.current_time())


def record_crash(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    trace: RequestTrace,
    upstreams: Iterable[ForwardedUpstream],
    started_at: float,
    *,
    events: int = 0,
) -> None:
    """Record and report a crash if an upstream of a failed attempt has exited since it was sent.

    At most one crash is recorded for each attempt, even if several upstreams of its path were lost.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        trace: Trace of the request.
        upstreams: Upstreams that the attempt had reached.
        started_at: Monotonic time at which the attempt was sent.
        events: Events of the attempt that arrived.
    """
    exited = next((item for item in upstreams if item.exited_at >= started_at), None)
    if exited is None:
        return
    fingerprint = content_fingerprint(trace, request, permit)
    instance = exited.registration.instance
    crashes = content_watch.record_own_crash(
        state.quarantine, fingerprint, instance, anyio.current_time()
    )
    if crashes == 0:
        return
    _send_to_controls(state, CrashReport(fingerprint=fingerprint, instance=instance))
    state.metrics.counters["ended-under-request"] += 1
    logger.warning(
        "upstream exited while running a request",
        extra={
            "request": permit.facts.attempt_id,
            "content": fingerprint.hex(),
            "upstream": instance,
            "ends": crashes,
            "events": events,
            "parts": permit.facts.prompt_parts,
        },
    )


def record_answered(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> None:
    """Clear the suspicion on a request content after a complete answer, and report it."""
    if state.quarantine.is_empty:
        return
    fingerprint = content_fingerprint(trace, request, permit)
    if content_watch.record_answered(state.quarantine, fingerprint):
        _send_to_controls(state, ContentServed(fingerprint=fingerprint))


def handle_suspect_update(state: GatewayState, update: SuspectUpdate) -> None:
    """Apply the number of crashes that a request content caused at all boxes."""
    content_watch.apply_suspect(
        state.quarantine, update.fingerprint, update.crashes, anyio.current_time()
    )


def handle_quarantine_update(state: GatewayState, update: QuarantineUpdate) -> None:
    """Apply which request contents are quarantined."""
    added = content_watch.apply_quarantine(
        state.quarantine, update.seconds_left, anyio.current_time()
    )
    if added:
        logger.warning(
            "request content quarantined",
            extra={"contents": [fingerprint.hex() for fingerprint in added]},
        )


def _send_to_controls(state: GatewayState, message: LinkMessage) -> None:
    """Send a message to the preferred control boxes."""
    if state.peers is None:
        return
    linked = [address for address in state.peers.ranked if address in state.peers.links]
    for address in linked[:MAX_REPORT_LINKS]:
        state.peers.links[address].post(message)
