"""Which control boxes a process keeps links to.

A control box keeps one to each other; an entry box keeps a few.

With links to all of them, every entry box would hear the same news from each: at 84 entry boxes and
6 control boxes that was a third of the processor time of an entry box at rest and most of what
crossed failure domains. A few links are enough, since control boxes tell each other.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping


def rank_controls(
    known: Iterable[str], domains: Mapping[str, str], *, own: str, own_domain: str, limit: int
) -> list[str]:
    """Put control boxes in the order in which an entry box prefers them.

    Those of the own failure domain come first, since a cut leaves them in reach and what they send
    crosses no domain; but one of the first `limit` is of another domain, so that the loss of all
    control boxes of the own domain is survived without a gap. Among equals, entry boxes prefer
    different ones (rendezvous hashing).

    Args:
        known: Addresses of control boxes.
        domains: Failure domain of each, as far as it is known.
        own: Address of the entry box.
        own_domain: Its failure domain.
        limit: Links that it wants; with one, no box of another domain is among the first.

    Returns:
        All addresses, the preferred ones first.
    """
    ranked = sorted(known, key=lambda address: _weight(own, address))
    near = [address for address in ranked if domains.get(address) == own_domain]
    far = [address for address in ranked if domains.get(address) != own_domain]
    first = near[: max(1, limit - 1)]
    return [*first, *far, *near[len(first) :]]


def _weight(own: str, address: str) -> bytes:
    return blake2b(f"{own}|{address}".encode(), digest_size=8).digest()


def choose_controls(
    ranked: Iterable[str], is_available: Callable[[str], bool], limit: int
) -> list[str]:
    """Choose which control boxes to keep links to.

    Args:
        ranked: Addresses, the preferred ones first.
        is_available: Tells whether a link is up or may still come up soon.
        limit: Links that are wanted.

    Returns:
        Addresses in the same order; more than `limit` if preferred ones are out of reach, which are
        tried on.

    >>> choose_controls(["a", "b", "c", "d"], lambda address: address != "b", 2)
    ['a', 'b', 'c']
    """
    chosen: list[str] = []
    available = 0
    for address in ranked:
        if available >= limit:
            break
        chosen.append(address)
        available += is_available(address)
    return chosen
