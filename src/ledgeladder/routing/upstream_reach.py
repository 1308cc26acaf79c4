"""Tracks whether this box opens connections to upstreams."""

from __future__ import annotations

import msgspec


class UpstreamReach(msgspec.Struct, kw_only=True):
    """Outcomes of this box's connections to upstreams."""

    opened: int = 0
    """Number of connections that were opened."""

    failed: int = 0
    """Number of connections that could not be opened."""

    last_opened_at: float = float("-inf")
    """When the newest connection was opened, on the monotonic clock."""


def record_opened(reach: UpstreamReach, now: float) -> None:
    """Record that a connection to an upstream was opened."""
    reach.opened += 1
    reach.last_opened_at = now


def record_not_opened(reach: UpstreamReach) -> None:
    """Record that a connection to an upstream could not be opened."""
    reach.failed += 1
