"""What an entry box may send to upstreams that name how many requests a second they take."""

from __future__ import annotations

import msgspec

from ..coordination.rate_limit import RateLimit


class HeldLimit(msgspec.Struct, kw_only=True):
    """The limit of one run of an upstream, at one entry box."""

    limit: RateLimit
    """What is known of it."""

    sent: int = 0
    """Requests of this box since that was last logged."""


class LimitTable(msgspec.Struct, kw_only=True):
    """Limits of all upstreams that name one."""

    limits: dict[str, HeldLimit] = msgspec.field(default_factory=dict)
    """Limits by run of the upstream."""
