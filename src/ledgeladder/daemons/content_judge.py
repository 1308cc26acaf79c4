"""Quarantines request contents that crash upstreams, on control boxes.

Every control box merges the crash reports of entry boxes. The leader commits the quarantine of
contents that are blamed for crashes. Both kinds of control processes use this module, each with its
own links.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from returns.result import Failure

from ..coordination.commands import QuarantineCommand
from ..coordination.crash_book import (
    CrashTable,
    blamed_fingerprints,
    clear_crashes,
    crash_count,
    record_crash,
)
from ..coordination.quarantine import seconds_left
from ..links.messages import CrashReport, QuarantineUpdate, SuspectUpdate
from .clock import wall_clock_ms
from .control.node import submit

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..links.messages import ContentServed, LinkMessage
    from .control.node import ControlNode

logger = logging.getLogger(__name__)

EVALUATION_INTERVAL_SECONDS: Final = 0.2
"""Interval at which the leader checks for contents to blame, at most the time from one crash to
that of the retry on the next upstream."""

MIN_SUSPECT_CRASHES: Final = 2
"""Number of crashes at which a content is reported to all entry boxes as suspected. Most contents
with a single crash only ran on the same upstream as the content that caused it."""


class QuarantineController(msgspec.Struct, kw_only=True):
    """Quarantine state of one control box."""

    node: ControlNode
    """This box's member of the replicated log."""

    broadcast_to_entries: Callable[[LinkMessage], None]
    """Sends a message to the entry boxes that follow this box."""

    broadcast_to_peers: Callable[[LinkMessage], None]
    """Sends a message to the other control boxes."""

    has_exited: Callable[[str], bool]
    """Returns whether the exit of an upstream instance is confirmed."""

    crash_table: CrashTable = msgspec.field(default_factory=CrashTable)
    """Crashes that entry boxes reported to this box or to other control boxes."""

    last_broadcast_changes: int = 0
    """Value of the quarantine's change counter at the last broadcast to entry boxes."""


def handle_crash_report(
    controller: QuarantineController, report: CrashReport, *, to_peers: bool
) -> None:
    """Record a crash that an entry box reported, and broadcast it if it is new.

    Args:
        controller: The controller.
        report: The report.
        to_peers: Whether to forward it to the other control boxes. True if it came from an entry
            box.
    """
    if not record_crash(controller.crash_table, report.fingerprint, report.instance):
        return
    if to_peers:
        controller.broadcast_to_peers(report)
    crashes = crash_count(controller.crash_table, report.fingerprint)
    if crashes < MIN_SUSPECT_CRASHES:
        return
    logger.warning(
        "request content suspected",
        extra={"content": report.fingerprint.hex(), "upstream": report.instance, "ends": crashes},
    )
    controller.broadcast_to_entries(SuspectUpdate(fingerprint=report.fingerprint, crashes=crashes))


def handle_content_served(
    controller: QuarantineController, served: ContentServed, *, to_peers: bool
) -> None:
    """Clear the crashes of a content that was answered, and forward the message to peers."""
    if clear_crashes(controller.crash_table, served.fingerprint) and to_peers:
        controller.broadcast_to_peers(served)


async def run_quarantine_controller(controller: QuarantineController) -> None:
    """Quarantine contents blamed for crashes while this box leads; runs until cancelled."""
    while True:
        await anyio.sleep(EVALUATION_INTERVAL_SECONDS)
        if controller.crash_table.suspects and controller.node.replica.is_leader:
            await quarantine_blamed(controller)


async def quarantine_blamed(controller: QuarantineController) -> None:
    """Quarantine contents blamed for crashes, and clear the crashes of quarantined ones."""
    quarantined = seconds_left(controller.node.state.quarantine, wall_clock_ms())
    for fingerprint in quarantined.keys() & controller.crash_table.suspects.keys():
        clear_crashes(controller.crash_table, fingerprint)
    for fingerprint in list(blamed_fingerprints(controller.crash_table, controller.has_exited)):
        crashes = sorted(controller.crash_table.suspects.get(fingerprint, ()))
        command = QuarantineCommand(fingerprint=fingerprint, time_ms=wall_clock_ms())
        outcome = await submit(controller.node, command)
        if isinstance(outcome, Failure):
            detail = outcome.failure().code.name
            logger.warning(
                "quarantine could not be committed",
                extra={"content": fingerprint.hex(), "detail": detail},
            )
            return
        clear_crashes(controller.crash_table, fingerprint)
        logger.warning(
            "request content quarantined", extra={"content": fingerprint.hex(), "ends": crashes}
        )


def quarantine_update(controller: QuarantineController) -> QuarantineUpdate:
    """Return the quarantined contents as a message for entry boxes."""
    quarantined = controller.node.state.quarantine
    return QuarantineUpdate(seconds_left=seconds_left(quarantined, wall_clock_ms()))


def broadcast_quarantine(controller: QuarantineController) -> None:
    """Broadcast the quarantined contents to entry boxes if any was added."""
    changes = controller.node.state.quarantine.changes
    if changes == controller.last_broadcast_changes:
        return
    controller.last_broadcast_changes = changes
    controller.broadcast_to_entries(quarantine_update(controller))
