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

MEMORY_SECONDS: Final = 1.0
"""Time over which what was sent is forgotten. Shorter than a stream lasts, so that a new loss shows
soon; long enough for a box that starts five streams a second to see some of them."""

FIRST_LIMIT: Final = 0.7
"""Share of a link up to which new requests may take it. Beyond that a prompt waits for more than
twice the time that it takes itself, and the waits of others grow as much."""

RESUME_LIMIT: Final = 0.9
"""The same for streams that have begun and lost an engine: what was done for them is lost if they
find no other path."""


class LinkLoad(msgspec.Struct, kw_only=True):
    """What this box lately sent over links between failure domains."""

    seconds: dict[Link, float] = msgspec.field(default_factory=dict)
    """Time that it takes on each link, in seconds; older parts count less and less."""

    at: float = 0.0
    """When that was last brought up to date, on the monotonic clock."""


def crossings(domains: Iterable[str]) -> list[Link]:
    """Return the links that a path passes.

    Args:
        domains: Failure domains of its engines, in order.

    >>> crossings(["b", "b", "a", "b"])
    [('a', 'b'), ('a', 'b')]
    """
    passed = list(domains)
    pairs = zip(passed, passed[1:], strict=False)
    return [link_between(one, other) for one, other in pairs if one != other]


def link_between(one: str, other: str) -> Link:
    """Return the link between two failure domains, whichever of them hands on."""
    return min(one, other), max(one, other)


def transfer_seconds(profile: EngineProfile, tokens: float) -> float:
    """Return how long the activations of some tokens take on a link; 0 if that is not known."""
    if profile.pipe_bytes_per_s <= 0:
        return 0.0
    return tokens * profile.activation_bytes / profile.pipe_bytes_per_s


def note_crossings(
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
    _forget(load, now)
    links = crossings(domains)
    for link in links:
        load.seconds[link] = load.seconds.get(link, 0.0) + transfer_seconds(profile, tokens)
    return links


def link_use(load: LinkLoad, boxes: int, now: float) -> Mapping[Link, float]:
    """Estimate which share of each link all entry boxes use; links that are left out are idle.

    Args:
        load: What this box sent.
        boxes: Entry boxes that send as much.
        now: Monotonic time.
    """
    _forget(load, now)
    return {link: seconds * boxes / MEMORY_SECONDS for link, seconds in load.seconds.items()}


def _forget(load: LinkLoad, now: float) -> None:
    kept = math.exp(-max(0.0, now - load.at) / MEMORY_SECONDS)
    load.at = now
    load.seconds = {
        link: seconds * kept for link, seconds in load.seconds.items() if seconds * kept > 1e-6
    }
