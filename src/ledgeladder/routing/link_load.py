"""How much of the links between failure domains the requests that cross them take.

A request that hands its activations on from one failure domain to another sends those of its whole
prompt at once. All that cross share one link for each pair of failure domains, one after the other,
so that waiting times grow without bound as the link fills. A box knows what it sends itself, and
takes every other box to send as much.
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
"""Time over which what was sent is forgotten. Shorter than a stream lasts, so that a new loss shows
soon; long enough for a box that starts five streams a second to see some of them."""

NEW_REQUEST_LIMIT: Final = 0.7
"""Share of a link up to which new requests may take it. Beyond that a prompt waits for more than
twice the time that it takes itself, and the waits of others grow as much."""

RESUMED_STREAM_LIMIT: Final = 0.9
"""The same for streams that have begun and lost an engine: what was done for them is lost if they
find no other path."""


class LinkLoad(msgspec.Struct, kw_only=True):
    """What this box lately sent over links between failure domains."""

    seconds: dict[Link, float] = msgspec.field(default_factory=dict)
    """Time that it takes on each link, in seconds; older parts count less and less."""

    updated_at: float = 0.0
    """When that was last brought up to date, on the monotonic clock."""


def inter_domain_links(domains: Iterable[str]) -> list[Link]:
    """Return the links that a path passes.

    Args:
        domains: Failure domains of its engines, in order.

    >>> inter_domain_links(["b", "b", "a", "b"])
    [('a', 'b'), ('a', 'b')]
    """
    hops = list(domains)
    pairs = zip(hops, hops[1:], strict=False)
    return [link_between(source, target) for source, target in pairs if source != target]


def link_between(first: str, second: str) -> Link:
    """Return the link between two failure domains, whichever of them hands on."""
    return min(first, second), max(first, second)


def transfer_seconds(profile: EngineProfile, tokens: float) -> float:
    """Return how long the activations of some tokens take on a link; 0 if that is not known."""
    if profile.pipe_bytes_per_s <= 0:
        return 0.0
    return tokens * profile.activation_bytes / profile.pipe_bytes_per_s


def record_transfer(
    load: LinkLoad, profile: EngineProfile, domains: Iterable[str], tokens: float, now: float
) -> list[Link]:
    """Take in a request that is sent over a path.

    Args:
        load: What this box sent.
        profile: Figures of the engines.
        domains: Failure domains of the path's engines, in order.
        tokens: Tokens whose activations are handed on at once.
        now: Monotonic time.

    Returns:
        The links that the path passes.
    """
    _decay(load, now)
    links = inter_domain_links(domains)
    for link in links:
        load.seconds[link] = load.seconds.get(link, 0.0) + transfer_seconds(profile, tokens)
    return links


def link_utilization(load: LinkLoad, boxes: int, now: float) -> Mapping[Link, float]:
    """Estimate which share of each link all entry boxes use; links that are left out are idle.

    Args:
        load: What this box sent.
        boxes: Entry boxes that send as much.
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
