"""Reports requests of this box that crash upstreams, and refuses quarantined ones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination import content_watch
from ...coordination.crash_book import CRASH_LIMIT
from ...links.messages import ContentServed, CrashReport
from ...model import ResultCode
from ..peers import part_links
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

ANSWERED_EVENTS: Final = 2
"""Events of an attempt after which its upstreams have begun to answer. An upstream that crashes as
it begins may have sent the first."""

MAX_REPORT_LINKS: Final = 2
"""Number of control boxes to which a crash is reported, in case one of them is lost. They inform
the others."""


def refuse_quarantined(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> None:
    """Refuse a request whose content, or a part of whose prompt, is quarantined.

    Raises:
        ProblemError: If it is refused. No upstream has run it.
    """
    quarantine = state.quarantine
    _blame_own_parts(state)
    if not quarantine.quarantined_until:
        return
    now = anyio.current_time()
    for part, fingerprint in part_fingerprints(permit).items():
        seconds_left = content_watch.quarantine_seconds_left(quarantine, fingerprint, now)
        if seconds_left > 0.0:
            detail = f"prompt part {part}, content {fingerprint.hex()}"
            raise refusal(ResultCode.QUARANTINED, detail, seconds_left)
    fingerprint = content_fingerprint(trace, request, permit)
    seconds_left = content_watch.quarantine_seconds_left(quarantine, fingerprint, now)
    if seconds_left > 0.0:
        raise refusal(ResultCode.QUARANTINED, f"content {fingerprint.hex()}", seconds_left)


def part_fingerprints(permit: Permit) -> dict[str, bytes]:
    """Return the fingerprints of the parts of a request's prompt, by id."""
    return {
        part: content_watch.compute_part_fingerprint(permit.pool.name, part)
        for part in permit.facts.prompt_parts
    }


def _blame_own_parts(state: GatewayState) -> None:
    """Quarantine parts by this box's own crashes while no control box reads them."""
    if state.quarantine.part_crashes is None:
        return
    if state.peers is not None and part_links(state.peers):
        return
    blamed = content_watch.blame_own_parts(state.quarantine, anyio.current_time())
    if blamed:
        logger.warning("prompt part blamed", extra={"contents": [part.hex() for part in blamed]})


def count_crashes(
    state: GatewayState, permit: Permit, request: HttpRequest, trace: RequestTrace
) -> int:
    """Return how many upstreams the request content has crashed, as far as this box knows.

    It is `CRASH_LIMIT` if a part of its prompt is quarantined.
    """
    quarantine = state.quarantine
    if quarantine.is_empty:
        return 0
    now = anyio.current_time()
    if quarantine.quarantined_until and any(
        content_watch.quarantine_seconds_left(quarantine, part, now) > 0.0
        for part in part_fingerprints(permit).values()
    ):
        return CRASH_LIMIT
    fingerprint = content_fingerprint(trace, request, permit)
    return content_watch.count_crashes_under(quarantine, fingerprint, now)


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
    The parts of its prompt are implicated only if the upstreams had not begun to answer it.

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
    if events < ANSWERED_EVENTS:
        _record_part_crashes(state, permit, instance, fingerprint)
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


def _record_part_crashes(
    state: GatewayState, permit: Permit, instance: str, content: bytes
) -> None:
    """Record and report a crash under each part of a request's prompt."""
    now = anyio.current_time()
    for part in part_fingerprints(permit).values():
        answered_lately = content_watch.record_own_part_crash(
            state.quarantine, part, instance, content, now
        )
        report = CrashReport(
            fingerprint=part,
            instance=instance,
            content=content,
            answered_lately=answered_lately,
        )
        _send_to_controls(state, report, reads_parts=True)


def record_parts_answered(state: GatewayState, permit: Permit) -> None:
    """Clear the suspicion on the parts of a prompt that an upstream answers, and report it."""
    now = anyio.current_time()
    for part in part_fingerprints(permit).values():
        if content_watch.record_own_part_answered(state.quarantine, part, now):
            _send_to_controls(state, ContentServed(fingerprint=part), reads_parts=True)


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


def _send_to_controls(
    state: GatewayState, message: LinkMessage, *, reads_parts: bool = False
) -> None:
    """Send a message to the preferred control boxes, or those of them that read parts."""
    if state.peers is None:
        return
    linked = [address for address in state.peers.ranked if address in state.peers.links]
    if reads_parts:
        linked = [address for address in linked if address in state.peers.part_readers]
    for address in linked[:MAX_REPORT_LINKS]:
        state.peers.links[address].post(message)
