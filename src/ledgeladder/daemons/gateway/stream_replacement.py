"""Decides whether a stalled attempt of a stream is aborted although its engines answer probes."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from ...routing.repeat_window import release_retry
from .borrowing import acquire_retry
from .checks import may_repeat
from .state import retry_budget
from .stream_paths import has_other_path

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...routing.paths import ChosenPath
    from .checks import Permit
    from .state import GatewayState
    from .stream_session import StreamSession


@contextmanager
def replaceable_attempts(
    state: GatewayState, permit: Permit, session: StreamSession
) -> Iterator[None]:
    """Let stalled attempts of a stream be aborted within the block if they can be replaced.

    Args:
        state: State of the process.
        permit: Permit of the request.
        session: The caller's stream.
    """

    async def secure(path: ChosenPath, *, lost_link: bool) -> bool:
        return await _may_abort(state, permit, session, path, lost_link=lost_link)

    session.may_abort = secure
    try:
        yield
    finally:
        if session.reserved_retry is not None:
            release_retry(retry_budget(state, permit.pool.name), session.reserved_retry)
            session.reserved_retry = None


async def _may_abort(
    state: GatewayState,
    permit: Permit,
    session: StreamSession,
    path: ChosenPath,
    *,
    lost_link: bool,
) -> bool:
    """Return whether a stalled attempt is aborted; take the retry that its replacement needs.

    Engines that answer probes are late because they are busy. Without a retry, or without a path
    over other engines, aborting the attempt would fail the request although its answer is on its
    way. An attempt between failure domains is aborted all the same: it waits for a link that is
    full, and holds the room of several domains as long as it does. One whose link was lost needs no
    other path, as its replacement goes through another box.
    """
    if len(set(path.domains)) > 1:
        return True
    if not may_repeat(state, permit) or session.attempts.counted >= permit.route.max_attempts:
        return False
    if not lost_link and not has_other_path(state, permit, session, path):
        return False
    if session.reserved_retry is None:
        session.reserved_retry = await acquire_retry(
            state, permit.pool.name, started=session.has_begun
        )
    if session.reserved_retry is None:
        return False
    state.metrics.counters["attempt-replaced"] += 1
    return True
