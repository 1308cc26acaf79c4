"""The control boxes' part in contents under which upstreams end.

They add up what entry boxes saw, and the one that leads puts a content that is to blame in
quarantine. Both kinds of control processes use this, each with its own links.
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
from ..links.messages import CrashReport, QuarantineNews, SuspectNews
from .clock import wall_clock_ms
from .control.node import submit

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..links.messages import ContentServed, LinkMessage
    from .control.node import ControlNode

logger = logging.getLogger(__name__)

JUDGE_SECONDS: Final = 0.2
"""How often the leader looks for contents to blame. A content that ends its upstreams takes 0.2 s
for each, with the way to the next one."""

SUSPECT_ENDS: Final = 2
"""Ends under a content from which on all entry boxes are told of it. Most contents with one are
innocent, a hundred for each upstream that ends."""


class ContentJudge(msgspec.Struct, kw_only=True):
    """What one control box knows of contents under which upstreams end."""

    node: ControlNode
    """Its member of the replicated log."""

    tell_entries: Callable[[LinkMessage], None]
    """Tells the entry boxes that follow this box."""

    tell_peers: Callable[[LinkMessage], None]
    """Tells the other control boxes."""

    has_ended: Callable[[str], bool]
    """Tells whether a run of an upstream has ended for certain."""

    book: CrashTable = msgspec.field(default_factory=CrashTable)
    """Ends that entry boxes saw, here or at other control boxes."""

    told_changes: int = 0
    """Contents that had been put in quarantine when entry boxes were last told of them."""


def take_crash_report(judge: ContentJudge, report: CrashReport, *, to_peers: bool) -> None:
    """Take in that an upstream ended while a request was on it, and tell others what is news.

    Args:
        judge: What this box knows.
        report: What an entry box saw.
        to_peers: True if it told this box, so that the other control boxes must be told.
    """
    if not record_crash(judge.book, report.content, report.instance):
        return
    if to_peers:
        judge.tell_peers(report)
    ends = crash_count(judge.book, report.content)
    if ends < SUSPECT_ENDS:
        return
    logger.warning(
        "content suspected",
        extra={"content": report.content.hex(), "upstream": report.instance, "ends": ends},
    )
    judge.tell_entries(SuspectNews(content=report.content, ends=ends))


def take_served(judge: ContentJudge, served: ContentServed, *, to_peers: bool) -> None:
    """Take in that a request with a content was answered: it is not to blame."""
    if clear_crashes(judge.book, served.content) and to_peers:
        judge.tell_peers(served)


async def keep_judging(judge: ContentJudge) -> None:
    """Put the contents that are to blame in quarantine while this box leads, for ever."""
    while True:
        await anyio.sleep(JUDGE_SECONDS)
        if judge.book.suspects and judge.node.replica.is_leader:
            await judge_contents(judge)


async def judge_contents(judge: ContentJudge) -> None:
    """Put the contents that are to blame in quarantine; those that are there are forgotten here."""
    held = seconds_left(judge.node.state.quarantine, wall_clock_ms())
    for content in held.keys() & judge.book.suspects.keys():
        clear_crashes(judge.book, content)
    for content in list(blamed_fingerprints(judge.book, judge.has_ended)):
        ends = sorted(judge.book.suspects.get(content, ()))
        command = QuarantineCommand(fingerprint=content, time_ms=wall_clock_ms())
        outcome = await submit(judge.node, command)
        if isinstance(outcome, Failure):
            detail = outcome.failure().code.name
            logger.warning("quarantine failed", extra={"content": content.hex(), "detail": detail})
            return
        clear_crashes(judge.book, content)
        logger.warning("content put in quarantine", extra={"content": content.hex(), "ends": ends})


def quarantine_news(judge: ContentJudge) -> QuarantineNews:
    """Return which contents are sent to no upstream."""
    held = judge.node.state.quarantine
    return QuarantineNews(seconds_left=seconds_left(held, wall_clock_ms()))


def tell_quarantine(judge: ContentJudge) -> None:
    """Tell the entry boxes which contents are sent nowhere, if any has been added."""
    changes = judge.node.state.quarantine.changes
    if changes == judge.told_changes:
        return
    judge.told_changes = changes
    judge.tell_entries(quarantine_news(judge))
