"""Streams that this box runs, by pool: those that have begun are owed retries."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .state import GatewayState
    from .stream_session import StreamSession


class RunningStream(NamedTuple):
    """One stream that this box runs."""

    opened_at: float
    """When its request arrived, on the monotonic clock."""

    session: StreamSession
    """The stream."""


@contextmanager
def track_stream(
    state: GatewayState, pool: str, session: StreamSession, opened_at: float
) -> Iterator[None]:
    """Count a stream as run by this box until the block ends."""
    streams = state.running_streams.setdefault(pool, {})
    streams[id(session)] = RunningStream(opened_at, session)
    try:
        yield
    finally:
        del streams[id(session)]
        if not streams:
            # A document may name other pools later.
            state.running_streams.pop(pool, None)


def begun_streams(state: GatewayState, pool: str) -> list[RunningStream]:
    """Return the streams of a pool whose callers have part of the answer."""
    streams = state.running_streams.get(pool, {})
    return [item for item in streams.values() if item.session.has_begun]
