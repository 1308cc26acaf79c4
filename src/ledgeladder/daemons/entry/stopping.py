"""Applies a planned stop to the requests of an entry."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

import anyio

from ...model import Problem, ProblemError, ResultCode
from ...routing.planned_stop import StopWindow, explain_unsendable, plan_stop
from ..clock import now

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checks import Permit
    from .context import EntryContext

RETRY_AFTER_SECONDS: Final = 1.0
"""Retry delay named by a stopping box: the least that the header states, as another box can
serve."""

OUT_OF_TIME: Final = "the planned stop of the box ran out of time"
"""Why a request ended that was in progress when a planned stop ended."""


def begin_stop(context: EntryContext) -> StopWindow:
    """Begin a planned stop, and return its times."""
    notice = context.settings.entry.stop_notice_seconds
    seconds = notice + context.settings.entry.stop_limit_seconds
    context.stopping = True
    context.stop_window = plan_stop(now(), seconds, notice_seconds=notice)
    return context.stop_window


def refuse_unfinishable(context: EntryContext, permit: Permit, *, may_repeat: bool) -> None:
    """Refuse a request that a planned stop leaves no time for.

    Args:
        context: The entry's state.
        permit: Permit of the request.
        may_repeat: Whether it may run more than once.

    Raises:
        ProblemError: With code STOPPING; it was not run.
    """
    reason = explain_unsendable(
        context.stop_window,
        now(),
        deadline=permit.deadline,
        may_repeat=may_repeat,
        usual_seconds=context.admission.mean_seconds,
    )
    if reason:
        raise ProblemError(_not_run(reason))


@contextmanager
def ends_with_stop(context: EntryContext, *, may_have_run: bool) -> Iterator[None]:
    """Let a planned stop that ends also end the block.

    Args:
        context: The entry's state.
        may_have_run: Whether an upstream may run the request meanwhile.

    Raises:
        ProblemError: If it did.
    """
    with anyio.CancelScope() as scope:
        context.stop_scopes.add(scope)
        if context.out_of_time:
            scope.cancel()
        try:
            yield
        finally:
            context.stop_scopes.discard(scope)
    if scope.cancelled_caught:
        lost = Problem(code=ResultCode.UPSTREAM_LOST, detail=OUT_OF_TIME, retry_after=1.0)
        raise ProblemError(lost if may_have_run else _not_run(OUT_OF_TIME))


def end_requests(context: EntryContext) -> None:
    """End the requests in progress, each of which then sends its final answer."""
    context.out_of_time = True
    for scope in list(context.stop_scopes):
        scope.cancel()


def _not_run(detail: str) -> Problem:
    return Problem(code=ResultCode.STOPPING, detail=detail, retry_after=RETRY_AFTER_SECONDS)
