"""Quarantines request contents that crash upstreams, on control boxes.

Every control box merges the crash reports of entry boxes. The leader commits the quarantine of
contents that are blamed for crashes. Both kinds of control processes use this module, each with its
own links.
"""

from __future__ import annotations

import logging
from itertools import islice
from typing import TYPE_CHECKING, Any, Final

import anyio
import msgspec
from returns.result import Failure

from ..coordination.commands import QuarantineCommand
from ..coordination.crash_book import (
    CRASH_LIMIT,
    UNCONFIRMED_QUARANTINE_SECONDS,
    CrashTable,
    blamed_fingerprints,
    clear_crashes,
    crash_count,
    forgive_crashes,
    is_part_fingerprint,
    record_crash,
)
from ..coordination.quarantine import seconds_left
from ..links.messages import CrashReport, QuarantineUpdate, SuspectUpdate
from .clock import wall_clock_ms
from .control.node import submit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..coordination.part_crashes import PartCrashTable
    from ..links import Link
    from ..links.messages import ContentServed, LinkMessage
    from .control.node import ControlNode

logger = logging.getLogger(__name__)

EVALUATION_INTERVAL_SECONDS: Final = 0.2
"""Interval at which the leader checks for contents to blame, at most the time from one crash to
that of the retry on the next upstream."""

MIN_SUSPECT_CRASHES: Final = 2
"""Number of crashes at which a content is reported to all entry boxes as suspected. Most contents
with a single crash only ran on the same upstream as the content that caused it."""

MAX_RETOLD_SUSPECTS: Final = 256
"""Suspected contents, and as many parts, that an entry box is told of when it links, the newest."""


def _ignore(message: LinkMessage) -> None:
    del message


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What entry boxes were told of a content that they refuse until the crashes are confirmed."""

    crashes: int
    """Number of its crashes at that time."""

    announced_at: float
    """When they were told, on the monotonic clock."""


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

    broadcast_parts_to_peers: Callable[[LinkMessage], None] = _ignore
    """Sends a message on a part of prompts to the other control boxes that read it."""

    part_crashes: PartCrashTable | None = None
    """The same crashes by part of the prompts; None before the first."""

    announced: dict[bytes, Announcement] = msgspec.field(default_factory=dict)
    """Contents that entry boxes were told to refuse, whole ones and parts, by fingerprint."""

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
    if is_part_fingerprint(report.fingerprint):
        _handle_part_crash(controller, report, to_peers=to_peers)
        return
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
    if crashes >= CRASH_LIMIT:
        _record_announcement(controller, report.fingerprint, crashes)
    controller.broadcast_to_entries(SuspectUpdate(fingerprint=report.fingerprint, crashes=crashes))


def _record_announcement(
    controller: QuarantineController, fingerprint: bytes, crashes: int
) -> None:
    now = anyio.current_time()
    controller.announced[fingerprint] = Announcement(crashes=crashes, announced_at=now)


def _handle_part_crash(
    controller: QuarantineController, report: CrashReport, *, to_peers: bool
) -> None:
    """Record a crash under a part, which entry boxes are told of so that answers clear it."""
    # Imported here because few control boxes are told of crashes.
    from ..coordination.part_crashes import PartCrashTable, part_crash_count, record_part_crash

    if controller.part_crashes is None:
        controller.part_crashes = PartCrashTable()
    is_new = record_part_crash(
        controller.part_crashes,
        report.fingerprint,
        report.instance,
        report.content,
        anyio.current_time(),
        answered_lately=report.answered_lately,
    )
    if to_peers:
        # Also if the instance is known: the request is another one.
        controller.broadcast_parts_to_peers(report)
    crashes = part_crash_count(controller.part_crashes, report.fingerprint)
    if is_new and crashes >= MIN_SUSPECT_CRASHES:
        update = SuspectUpdate(fingerprint=report.fingerprint, crashes=CRASH_LIMIT - 1)
        controller.broadcast_to_entries(update)


def handle_content_served(
    controller: QuarantineController, served: ContentServed, *, to_peers: bool
) -> None:
    """Clear the crashes of a content that was answered, and forward the message to peers."""
    if is_part_fingerprint(served.fingerprint):
        if _clear_part(controller, served.fingerprint) and to_peers:
            controller.broadcast_parts_to_peers(served)
        return
    if clear_crashes(controller.crash_table, served.fingerprint) and to_peers:
        controller.broadcast_to_peers(served)


async def run_quarantine_controller(controller: QuarantineController) -> None:
    """Quarantine contents blamed for crashes while this box leads; runs until cancelled."""
    while True:
        await anyio.sleep(EVALUATION_INTERVAL_SECONDS)
        _forget_quarantined(controller)
        _forget_announced(controller)
        announce_blamed_parts(controller)
        if not controller.node.replica.is_leader:
            continue
        await quarantine_parts(controller)
        if controller.crash_table.suspects:
            await quarantine_blamed(controller)


def _forget_quarantined(controller: QuarantineController) -> None:
    """Clear the crashes of parts that are quarantined."""
    if controller.part_crashes is None or not controller.part_crashes.suspects:
        return
    quarantined = seconds_left(controller.node.state.quarantine, wall_clock_ms())
    for part in [item for item in controller.part_crashes.suspects if item in quarantined]:
        _clear_part(controller, part)


def _forget_announced(controller: QuarantineController) -> None:
    """Drop the announcements of contents that are no longer suspected."""
    parts = controller.part_crashes.suspects if controller.part_crashes is not None else {}
    contents = controller.crash_table.suspects
    for item in [key for key in controller.announced if key not in parts and key not in contents]:
        del controller.announced[item]


def _clear_part(controller: QuarantineController, part: bytes) -> bool:
    """Clear the crashes under a part; return False if it has none."""
    if controller.part_crashes is None:
        return False
    from ..coordination.part_crashes import clear_part

    return clear_part(controller.part_crashes, part)


def announce_blamed_parts(controller: QuarantineController) -> None:
    """Have entry boxes refuse the parts that are to blame until the leader has confirmed them."""
    table = controller.part_crashes
    if table is None or not table.suspects:
        return
    from ..coordination.part_crashes import blame_parts

    for part in blame_parts(table, anyio.current_time()):
        instances = table.suspects[part].instances
        earlier = controller.announced.get(part)
        if earlier is not None and earlier.crashes == len(instances):
            continue
        _record_announcement(controller, part, len(instances))
        forgive_crashes(controller.crash_table, instances)
        controller.broadcast_to_entries(SuspectUpdate(fingerprint=part, crashes=CRASH_LIMIT))
        logger.warning(
            "prompt part blamed", extra={"content": part.hex(), "ends": sorted(instances)}
        )


async def quarantine_parts(controller: QuarantineController) -> None:
    """Quarantine the parts whose crashes are confirmed."""
    table = controller.part_crashes
    if table is None or not table.suspects:
        return
    from ..coordination.part_crashes import blame_parts

    for part in blame_parts(table, anyio.current_time(), controller.has_exited):
        # An answer may have cleared it while an earlier one was committed.
        crashes = table.suspects.get(part)
        if crashes is not None and not await _commit(controller, part, sorted(crashes.instances)):
            return


async def quarantine_blamed(controller: QuarantineController) -> None:
    """Quarantine contents blamed for crashes, and clear the crashes of quarantined ones."""
    quarantined = seconds_left(controller.node.state.quarantine, wall_clock_ms())
    for fingerprint in quarantined.keys() & controller.crash_table.suspects.keys():
        clear_crashes(controller.crash_table, fingerprint)
    for fingerprint in list(blamed_fingerprints(controller.crash_table, controller.has_exited)):
        crashes = sorted(controller.crash_table.suspects.get(fingerprint, ()))
        if not await _commit(controller, fingerprint, crashes):
            return


async def _commit(
    controller: QuarantineController, fingerprint: bytes, instances: list[str]
) -> bool:
    """Commit the quarantine of a fingerprint, and clear its crashes; return False if that fails."""
    command = QuarantineCommand(fingerprint=fingerprint, time_ms=wall_clock_ms())
    outcome = await submit(controller.node, command)
    if isinstance(outcome, Failure):
        logger.warning(
            "quarantine could not be committed",
            extra={"content": fingerprint.hex(), "detail": outcome.failure().code.name},
        )
        return False
    clear_crashes(controller.crash_table, fingerprint)
    _clear_part(controller, fingerprint)
    logger.warning(
        "request content quarantined", extra={"content": fingerprint.hex(), "ends": instances}
    )
    return True


def quarantine_update(controller: QuarantineController) -> QuarantineUpdate:
    """Return the quarantined contents as a message for entry boxes."""
    quarantined = controller.node.state.quarantine
    return QuarantineUpdate(seconds_left=seconds_left(quarantined, wall_clock_ms()))


def post_contents(controller: QuarantineController, link: Link) -> None:
    """Send an entry box that has just linked what others were told of contents before.

    Args:
        controller: The controller.
        link: The link to the entry box.
    """
    link.post(quarantine_update(controller))
    for update in _suspect_updates(controller):
        link.post(update)


def _suspect_updates(controller: QuarantineController) -> Iterator[SuspectUpdate]:
    """Yield the newest suspects, with `CRASH_LIMIT` crashes while the others refuse them."""
    tables: list[dict[bytes, Any]] = [controller.crash_table.suspects]
    if controller.part_crashes is not None:
        tables.append(controller.part_crashes.suspects)
    expired_at = anyio.current_time() - UNCONFIRMED_QUARANTINE_SECONDS
    for suspects in tables:
        for fingerprint in islice(reversed(suspects), MAX_RETOLD_SUSPECTS):
            earlier = controller.announced.get(fingerprint)
            is_refused = earlier is not None and earlier.announced_at > expired_at
            crashes = CRASH_LIMIT if is_refused else CRASH_LIMIT - 1
            yield SuspectUpdate(fingerprint=fingerprint, crashes=crashes)


def broadcast_quarantine(controller: QuarantineController) -> None:
    """Broadcast the quarantined contents to entry boxes if any was added."""
    changes = controller.node.state.quarantine.changes
    if changes == controller.last_broadcast_changes:
        return
    controller.last_broadcast_changes = changes
    controller.broadcast_to_entries(quarantine_update(controller))
