"""Lookup of the route of a request and of the client account of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .contention import pool_ranks

if TYPE_CHECKING:
    import random

    from ..model.traffic import AccountKeys, RouteRule, TrafficConfiguration


class RouteIndex(msgspec.Struct, kw_only=True):
    """A configuration, indexed for lookups."""

    routes: dict[str, dict[str, RouteRule]] = msgspec.field(default_factory=dict)
    """Routes by host and path prefix."""

    accounts: dict[str, AccountKeys] = msgspec.field(default_factory=dict)
    """Client accounts by key."""

    needs_keys: bool = False
    """Whether there are client accounts, in which case routes that are not public require a key."""

    ranks: dict[str, tuple[int, ...]] = msgspec.field(default_factory=dict)
    """Ranks of the requests of each contended pool, the most urgent first."""


def build_index(configuration: TrafficConfiguration) -> RouteIndex:
    """Build the index of a configuration."""
    index = RouteIndex(needs_keys=bool(configuration.accounts), ranks=pool_ranks(configuration))
    for route in configuration.routes:
        index.routes.setdefault(route.host, {})[route.path_prefix] = route
    for account in configuration.accounts:
        for key in account.keys:
            index.accounts[key] = account
    return index


def find_route(index: RouteIndex, host: str, path: str) -> RouteRule | None:
    """Return the route with the longest matching path prefix.

    Prefixes must end with a slash; others never match.

    Args:
        index: The index.
        host: Requested host, in lower case and without a port.
        path: Path without its query.

    Returns:
        The route, or None if no prefix of the host matches.
    """
    prefixes = index.routes.get(host)
    if not prefixes:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_pool(route: RouteRule, rng: random.Random) -> str:
    """Choose a pool at random by weight; pools of weight 0 are never chosen.

    Args:
        route: The route, whose weights sum to more than 0.
        rng: Source of randomness.

    Returns:
        Name of the pool.
    """
    total = sum(item.weight for item in route.pools)
    point = rng.random() * total
    for item in route.pools:
        point -= item.weight
        if point < 0:
            return item.pool
    return next(item.pool for item in reversed(route.pools) if item.weight > 0)
