"""Load that requests put on the links between failure domains.

A request that crosses failure domains transfers the activations of its whole prompt at once. All
such requests share one link per pair of domains and queue on it, so waits grow without bound near
full utilization. A box knows only its own transfers and assumes that every other box sends as much.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.traffic import EngineProfile

Link = tuple[str, str]
"""Two failure domains, in alphabetical order."""

DECAY_SECONDS: Final = 1.0
"""Time constant of the exponential decay of recorded transfers. Shorter than a typical
stream, to reflect a loss quickly, but long enough to average over several streams."""

NEW_REQUEST_LIMIT: Final = 0.7
"""Link utilization up to which new requests may use it. Beyond, a prompt waits for more than twice
its own transfer time, and the delay of other requests grows as much."""

RESUMED_STREAM_LIMIT: Final = 0.9
"""Link utilization up to which streams may resume after losing an engine. Higher, since their work
is lost if they find no other path."""


class LinkLoad(msgspec.Struct, kw_only=True):
    """Decayed sum of the transfers of this box over inter-domain links."""

    seconds: dict[Link, float] = msgspec.field(default_factory=dict)
    """Transfer time on each link, in seconds; older transfers count less."""

    updated_at: float = 0.0
    """When the sums were last decayed, in monotonic time."""


def inter_domain_links(domains: Iterable[str]) -> list[Link]:
    """Return the inter-domain links of a path, once for each hop.

    Args:
        domains: Failure domains of the path's engines, in order.

    >>> inter_domain_links(["b", "b", "a", "b"])
    [('a', 'b'), ('a', 'b')]
    """
    path_domains = list(domains)
    pairs = zip(path_domains, path_domains[1:], strict=False)
    return [link_between(source, target) for source, target in pairs if source != target]


def link_between(first: str, second: str) -> Link:
    """Return the link between two failure domains, in either direction."""
    return min(first, second), max(first, second)


def transfer_seconds(profile: EngineProfile, tokens: float) -> float:
    """Return the transfer time of the activations of some tokens; 0 if the bandwidth is unknown."""
    if profile.domain_link_bytes_per_s <= 0:
        return 0.0
    return tokens * profile.activation_bytes / profile.domain_link_bytes_per_s


def record_transfer(
    load: LinkLoad, profile: EngineProfile, domains: Iterable[str], tokens: float, now: float
) -> list[Link]:
    """Record a request that is sent over a path.

    Args:
        load: Recorded transfers of this box.
        profile: Performance figures of the engines.
        domains: Failure domains of the path's engines, in order.
        tokens: Tokens whose activations are transferred at once.
        now: Monotonic time.

    Returns:
        The inter-domain links of the path, once for each hop.
    """
    _decay(load, now)
    links = inter_domain_links(domains)
    for link in links:
        load.seconds[link] = load.seconds.get(link, 0.0) + transfer_seconds(profile, tokens)
    return links


def link_utilization(load: LinkLoad, boxes: int, now: float) -> Mapping[Link, float]:
    """Estimate the utilization of each link by all entry boxes; idle links are omitted.

    Args:
        load: Recorded transfers of this box.
        boxes: Number of entry boxes, each assumed to send as much.
        now: Monotonic time.
    """
    _decay(load, now)
    return {link: seconds * boxes / DECAY_SECONDS for link, seconds in load.seconds.items()}


def _decay(load: LinkLoad, now: float) -> None:
    decay = math.exp(-max(0.0, now - load.updated_at) / DECAY_SECONDS)
    load.updated_at = now
    load.seconds = {
        link: seconds * decay for link, seconds in load.seconds.items() if seconds * decay > 1e-6
    }
