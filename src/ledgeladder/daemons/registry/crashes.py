"""Requests under which upstreams end: merging what entry boxes saw, and putting contents aside."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure

from ...coordination.commands import QuarantineCommand
from ...coordination.crash_book import blamed_contents, count_ends, forget_content, note_end
from ...coordination.loss_evidence import seems_lost
from ...coordination.quarantine import seconds_left
from ...coordination.registrations import has_newer_run
from ...links import post_to_all
from ...links.messages import QuarantineNews, SuspectNews
from ..clock import wall_clock_ms
from ..control.node import submit

if TYPE_CHECKING:
    from ...links.messages import ContentServed, CrashReport
    from .state import RegistryState

logger = logging.getLogger(__name__)

JUDGE_SECONDS: Final = 0.2
"""How often the leader looks for contents to blame. A content that ends its upstreams takes 0.2 s
for each, with the way to the next one."""

SUSPECT_ENDS: Final = 2
"""Ends under a content from which on all entry boxes are told of it. Most contents with one are
innocent, a hundred for each upstream that ends."""


def take_crash_report(state: RegistryState, report: CrashReport, *, to_peers: bool) -> None:
    """Take in that an upstream ended while a request was on it, and tell others what is news.

    Args:
        state: The process's state.
        report: What an entry box saw.
        to_peers: True if it told this box, so that the other control boxes must be told.
    """
    if not note_end(state.crashes, report.content, report.instance, anyio.current_time()):
        return
    if to_peers:
        post_to_all(state.peers.links.values(), report)
    ends = count_ends(state.crashes, report.content)
    if ends < SUSPECT_ENDS:
        return
    logger.warning(
        "content suspected",
        extra={"content": report.content.hex(), "upstream": report.instance, "ends": ends},
    )
    post_to_all(state.accepted.values(), SuspectNews(content=report.content, ends=ends))


def take_served(state: RegistryState, served: ContentServed, *, to_peers: bool) -> None:
    """Take in that a request with a content was answered: it is not to blame."""
    if forget_content(state.crashes, served.content) and to_peers:
        post_to_all(state.peers.links.values(), served)


def _has_ended(state: RegistryState, instance: str, now: float) -> bool:
    """Tell whether a run of an upstream has ended for certain.

    A box behind a cut that refuses connections says so of upstreams that go on sending heartbeats.
    """
    known = state.table.known.get(instance)
    if known is None or has_newer_run(state.table, known.registration):
        return True
    return seems_lost(
        state.losses,
        instance,
        known.heard_at,
        now,
        state.table.heartbeat,
        silence_counts=len(state.peers.links) >= len(state.peers.known),
    )


async def keep_judging(state: RegistryState) -> None:
    """Put the contents that are to blame in quarantine while this box leads, for ever."""
    while True:
        await anyio.sleep(JUDGE_SECONDS)
        if state.crashes.suspects and state.node.replica.is_leader:
            await _judge(state)


async def _judge(state: RegistryState) -> None:
    now = anyio.current_time()
    held = state.node.state.quarantine.until_ms
    blamed = list(blamed_contents(state.crashes, lambda item: _has_ended(state, item, now)))
    for content in [item for item in blamed if item not in held]:
        ends = sorted(state.crashes.suspects.get(content, ()))
        command = QuarantineCommand(content=content, time_ms=wall_clock_ms())
        outcome = await submit(state.node, command)
        if isinstance(outcome, Failure):
            detail = outcome.failure().code.name
            logger.warning("quarantine failed", extra={"content": content.hex(), "detail": detail})
            return
        forget_content(state.crashes, content)
        logger.warning("content put in quarantine", extra={"content": content.hex(), "ends": ends})


def quarantine_news(state: RegistryState) -> QuarantineNews:
    """Return which contents are sent to no upstream."""
    held = state.node.state.quarantine
    return QuarantineNews(seconds_left=seconds_left(held, wall_clock_ms()))


def tell_quarantine(state: RegistryState) -> None:
    """Tell the entry boxes which contents are sent nowhere, if any has been added."""
    changes = state.node.state.quarantine.changes
    if changes == state.told_quarantine:
        return
    state.told_quarantine = changes
    post_to_all(state.accepted.values(), quarantine_news(state))
