"""Chooses the control boxes to which a process keeps links.

A control box links to every other one, an entry box only to a few. Control boxes forward updates to
each other, so further links of an entry box would only carry duplicates, mostly across failure
domains.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping


def rank_controls(
    known: Iterable[str], domains: Mapping[str, str], *, own: str, own_domain: str, limit: int
) -> list[str]:
    """Rank control boxes by the preference of an entry box.

    Those of the local failure domain come first, since they stay reachable in a partition and their
    messages cross no domain boundary. One of the first `limit` is of another domain, so there is no
    gap when all control boxes of the local domain are lost. Among equals, entry boxes prefer
    different ones (rendezvous hashing).

    Args:
        known: Addresses of control boxes.
        domains: Failure domain of each, as far as it is known.
        own: Address of the entry box.
        own_domain: Its failure domain.
        limit: Number of links; with one, no box of another domain is among the first.

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
    """Choose the control boxes to keep links to.

    Args:
        ranked: Addresses, the preferred ones first.
        is_available: Returns whether a link is up or may still come up soon.
        limit: Number of links to have available.

    Returns:
        Addresses in the same order. Unavailable ones are included in addition to `limit`, since
        connecting to them is retried.

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
