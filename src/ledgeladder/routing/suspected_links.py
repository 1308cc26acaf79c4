"""Links between failure domains over which requests stood still although all engines answered.

All requests that pass from one failure domain to another share one link. When it is slow or full,
the engines on both sides look healthy, and everything that crosses waits.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from .link_load import inter_domain_links

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .link_load import Link

LINK_SUSPECT_SECONDS: Final = 3.0
"""How long a link is avoided after a request stood still on it; then it is tried again. A link that
is slow for some seconds costs a few requests that way and not all."""

LINK_PENALTY_SECONDS: Final = 1.0
"""Cost of passing such a link: as long as requests stand still there before they are moved."""


class SuspectedLinks(msgspec.Struct, kw_only=True):
    """Links that are avoided."""

    until: dict[Link, float] = msgspec.field(default_factory=dict)
    """Until when each is avoided, on the monotonic clock."""


def suspect_links(suspected: SuspectedLinks, domains: Iterable[str], now: float) -> list[Link]:
    """Note that a request stood still on a path.

    Args:
        suspected: The links that are avoided.
        domains: Failure domains of its engines, in order.
        now: Monotonic time.

    Returns:
        The links that the path passes, all of which are doubted, since nothing tells which it was.

    >>> suspect_links(SuspectedLinks(), ["a", "a", "b"], 1.0)
    [('a', 'b')]
    """
    links = inter_domain_links(domains)
    suspected.until |= dict.fromkeys(links, now + LINK_SUSPECT_SECONDS)
    return links


def link_penalties(suspected: SuspectedLinks, now: float) -> dict[Link, float]:
    """Return the extra cost of the links that are avoided now, in seconds; forgets the others."""
    for link in [item for item, until in suspected.until.items() if until <= now]:
        del suspected.until[link]
    return dict.fromkeys(suspected.until, LINK_PENALTY_SECONDS)
