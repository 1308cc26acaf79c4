"""Inter-domain links suspected because requests stalled on them although all engines answered.

All requests that pass from one failure domain to another share one link. When it is slow or full,
the engines on both sides look healthy while every request over the link stalls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from .link_load import inter_domain_links

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .link_load import Link

LINK_SUSPECT_SECONDS: Final = 3.0
"""How long a suspected link is avoided; it is then used again."""

LINK_PENALTY_SECONDS: Final = 1.0
"""Cost of using a suspected link: about the time after which a stalled request is moved."""


class SuspectedLinks(msgspec.Struct, kw_only=True):
    """Links that are avoided."""

    until: dict[Link, float] = msgspec.field(default_factory=dict)
    """Until when each is avoided, on the monotonic clock."""


def suspect_links(suspected: SuspectedLinks, domains: Iterable[str], now: float) -> list[Link]:
    """Record that a request stalled on a path.

    Args:
        suspected: The suspected links.
        domains: Failure domains of its engines, in order.
        now: Monotonic time.

    Returns:
        All inter-domain links of the path; which of them stalled is unknown.

    >>> suspect_links(SuspectedLinks(), ["a", "a", "b"], 1.0)
    [('a', 'b')]
    """
    links = inter_domain_links(domains)
    suspected.until |= dict.fromkeys(links, now + LINK_SUSPECT_SECONDS)
    return links


def link_penalties(suspected: SuspectedLinks, now: float) -> dict[Link, float]:
    """Return the extra cost of suspected links, in seconds, and drop expired ones."""
    for link in [item for item, until in suspected.until.items() if until <= now]:
        del suspected.until[link]
    return dict.fromkeys(suspected.until, LINK_PENALTY_SECONDS)
