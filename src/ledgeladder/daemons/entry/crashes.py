"""Requests of this box under which upstreams end: what is told, and what is refused."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING, Final

from ...coordination import content_watch
from ...coordination.crash_book import CRASH_LIMIT
from ...links import nobody_listens
from ...links.messages import ContentServed, CrashReport, QuarantineNews, SuspectNews
from ...model import Problem, ProblemError, ResultCode
from ..clock import now

if TYPE_CHECKING:
    from ...links.messages import LinkMessage
    from .context import EntryContext

logger = logging.getLogger(__name__)

LOOK_SECONDS: Final = 0.25
"""How long an upstream may take to accept or refuse a connection: a hundred round trips inside a
region. One that says nothing has not ended for certain."""


def refuse_if_held(context: EntryContext, content: bytes) -> None:
    """Refuse a request whose content is sent nowhere.

    Raises:
        ProblemError: If it is refused; it has not run.
    """
    left = content_watch.quarantine_seconds_left(context.contents, content, now())
    if left > 0.0:
        detail = f"content {content.hex()}"
        problem = Problem(code=ResultCode.QUARANTINED, detail=detail, retry_after=left)
        raise ProblemError(problem)


def may_be_sent(context: EntryContext, content: bytes) -> bool:
    """Tell whether a request may be sent to another upstream, after some of its were lost."""
    return content_watch.count_crashes_under(context.contents, content, now()) < CRASH_LIMIT


async def note_lost_run(context: EntryContext, content: bytes, upstream: str, address: str) -> None:
    """Note that a run broke off at an upstream, if the upstream's process has ended.

    Args:
        context: The entry's state.
        content: Mark of the request's content.
        upstream: Name of the upstream, which it keeps over restarts. Each end under a request is
            told under a name of its own, since one that comes back may end again.
        address: `host:port` of the upstream.
    """
    source = context.settings.box.source_address
    if not await nobody_listens(address, source, seconds=LOOK_SECONDS):
        return
    instance = f"{upstream}#{secrets.token_hex(4)}"
    ends = content_watch.record_own_crash(context.contents, content, instance, now())
    context.tell_controls(CrashReport(content=content, instance=instance))
    context.metrics.events["ended-under-request"] += 1
    logger.warning(
        "upstream ended under a request",
        extra={"content": content.hex(), "upstream": instance, "ends": ends},
    )


def note_answered(context: EntryContext, content: bytes) -> None:
    """Note that a request was answered in full."""
    if content_watch.record_answered(context.contents, content):
        context.tell_controls(ContentServed(content=content))


def take_content_news(context: EntryContext, news: LinkMessage) -> bool:
    """Take in what a control box told of contents.

    Returns:
        False if the message is about something else.
    """
    match news:
        case SuspectNews():
            content_watch.apply_suspect(context.contents, news.content, news.ends, now())
        case QuarantineNews():
            added = content_watch.apply_quarantine(context.contents, news.seconds_left, now())
            if added:
                extra = {"contents": [content.hex() for content in added]}
                logger.warning("content held", extra=extra)
        case _:
            return False
    return True
