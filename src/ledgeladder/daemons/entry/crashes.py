"""Reports requests of this box that crash upstreams, and refuses quarantined ones."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING, Final

from ...coordination import content_watch
from ...coordination.crash_book import CRASH_LIMIT
from ...links import is_port_closed
from ...links.messages import ContentServed, CrashReport, QuarantineUpdate, SuspectUpdate
from ...model import Problem, ProblemError, ResultCode
from ..clock import now

if TYPE_CHECKING:
    from ...links.messages import LinkMessage
    from .context import EntryContext

logger = logging.getLogger(__name__)

CHECK_TIMEOUT_SECONDS: Final = 0.25
"""Timeout for an upstream to accept or refuse a connection; far above the round-trip time within a
region. An upstream that does neither may still be running."""


def refuse_quarantined(context: EntryContext, fingerprint: bytes) -> None:
    """Refuse a request whose content is quarantined.

    Raises:
        ProblemError: If it is refused. No upstream has run it.
    """
    seconds_left = content_watch.quarantine_seconds_left(context.quarantine, fingerprint, now())
    if seconds_left > 0.0:
        detail = f"content {fingerprint.hex()}"
        problem = Problem(code=ResultCode.QUARANTINED, detail=detail, retry_after=seconds_left)
        raise ProblemError(problem)


def may_retry(context: EntryContext, fingerprint: bytes) -> bool:
    """Return whether a request may be sent to another upstream after some were lost."""
    return content_watch.count_crashes_under(context.quarantine, fingerprint, now()) < CRASH_LIMIT


async def record_crash(
    context: EntryContext, fingerprint: bytes, upstream: str, address: str
) -> None:
    """Record and report a crash if the upstream of a failed attempt has exited.

    Args:
        context: The entry's state.
        fingerprint: Fingerprint of the request content.
        upstream: Name of the upstream. It stays the same over restarts, so each crash is reported
            under a unique instance name.
        address: `host:port` of the upstream.
    """
    source = context.settings.box.source_address
    if not await is_port_closed(address, source, seconds=CHECK_TIMEOUT_SECONDS):
        return
    instance = f"{upstream}#{secrets.token_hex(4)}"
    crashes = content_watch.record_own_crash(context.quarantine, fingerprint, instance, now())
    context.send_to_controls(CrashReport(fingerprint=fingerprint, instance=instance))
    context.metrics.events["ended-under-request"] += 1
    logger.warning(
        "upstream exited while running a request",
        extra={"content": fingerprint.hex(), "upstream": instance, "ends": crashes},
    )


def record_answered(context: EntryContext, fingerprint: bytes) -> None:
    """Clear the suspicion on a request content after a complete answer, and report it."""
    if content_watch.record_answered(context.quarantine, fingerprint):
        context.send_to_controls(ContentServed(fingerprint=fingerprint))


def handle_quarantine_message(context: EntryContext, message: LinkMessage) -> bool:
    """Apply an update on suspected or quarantined contents from a control box.

    Returns:
        False if the message is of another kind.
    """
    match message:
        case SuspectUpdate():
            content_watch.apply_suspect(
                context.quarantine, message.fingerprint, message.crashes, now()
            )
        case QuarantineUpdate():
            added = content_watch.apply_quarantine(context.quarantine, message.seconds_left, now())
            if added:
                extra = {"contents": [fingerprint.hex() for fingerprint in added]}
                logger.warning("request content quarantined", extra=extra)
        case _:
            return False
    return True
