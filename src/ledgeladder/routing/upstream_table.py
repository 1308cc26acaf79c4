"""Tracks each upstream at one entry box: requests in progress, health and reported load."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final

import msgspec

from ..model import Configuration, Upstream, UpstreamKind
from .rate_grants import GrantedLimit, GrantedLimitTable, grant_wait

if TYPE_CHECKING:
    from collections.abc import Iterable

logger = logging.getLogger(__name__)

SUSPECT_SECONDS: Final = 1.0
"""How long a service is suspected after a failure; doubles with each consecutive failure."""

MAX_SUSPECT_SECONDS: Final = 8.0
"""Maximum time for which a service is suspected."""

MAX_DOUBLINGS: Final = 16
"""Number of failures after which that time no longer grows in any case."""


class UpstreamView(msgspec.Struct, kw_only=True):
    """One upstream as this box sees it."""

    upstream: Upstream
    """Its object in the configuration."""

    in_flight: int = 0
    """Requests of this box in progress on it."""

    reported_load: float = 0.0
    """Requests of all boxes in progress on it, as it last reported."""

    listed_draining: bool = False
    """True if the platform lists it as draining."""

    reported_draining: bool = False
    """True if it reported that it is draining."""

    reported_down: bool = False
    """True if the boxes that monitor it get no answer."""

    backoff_until: float = -math.inf
    """End of the back-off that it requested, on the monotonic clock."""

    limit: GrantedLimit | None = None
    """Its rate limit over all boxes; None if it has none."""

    suspect_until: float = 0.0
    """Until when it is suspected because of failures, on the monotonic clock."""

    failures: int = 0
    """Consecutive failures."""


class UpstreamTable(msgspec.Struct, kw_only=True):
    """All upstreams of the configuration in force."""

    views: dict[str, UpstreamView] = msgspec.field(default_factory=dict)
    """Views by name."""

    limits: GrantedLimitTable = msgspec.field(default_factory=GrantedLimitTable)
    """Rate limits of upstreams, by name."""


def update_upstreams(table: UpstreamTable, configuration: Configuration) -> None:
    """Update the table to a configuration, keeping the state of each remaining upstream.

    Args:
        table: The table.
        configuration: The configuration that comes into force.
    """
    kept: dict[str, UpstreamView] = {}
    for name, upstream in configuration.upstreams.items():
        view = table.views.get(name)
        if view is not None and view.upstream.address != upstream.address:
            # Another process, whose limit isn't known yet.
            table.limits.limits.pop(name, None)
            view = None
        if view is None:
            view = UpstreamView(upstream=upstream, limit=table.limits.limits.get(name))
        view.upstream = upstream
        kept[name] = view
    table.views = kept


def record_failure(view: UpstreamView, now: float) -> None:
    """Record a failure of an upstream, which makes it suspected.

    An engine is suspected until it answers a probe, so no further request fails on it. A service
    has no probe and is suspected for a time that doubles with each failure.

    Args:
        view: The upstream.
        now: Monotonic time in seconds.
    """
    view.failures += 1
    if view.upstream.kind is UpstreamKind.ENGINE:
        view.suspect_until = math.inf
        return
    doublings = min(view.failures - 1, MAX_DOUBLINGS)
    pause = min(SUSPECT_SECONDS * 2**doublings, MAX_SUSPECT_SECONDS)
    view.suspect_until = now + pause


def record_success(view: UpstreamView) -> None:
    """Record a success of an upstream, which clears its suspicion."""
    view.failures = 0
    view.suspect_until = 0.0


def record_backoff(view: UpstreamView, seconds: float, now: float) -> None:
    """Record a back-off that an upstream requested; an earlier back-off is never shortened.

    Unlike suspicion, a back-off isn't cleared by the success of an earlier request.

    Args:
        view: The upstream.
        seconds: Length of the back-off.
        now: Monotonic time in seconds.
    """
    until = now + seconds
    if until <= max(now, view.backoff_until):
        return
    view.backoff_until = until
    logger.warning(
        "upstream requested back-off",
        extra={"upstream": view.upstream.name, "seconds": round(seconds, 3)},
    )


def is_backing_off(view: UpstreamView, now: float) -> bool:
    """Return whether an upstream's back-off is in force."""
    return now < view.backoff_until


def min_remaining_wait(views: Iterable[UpstreamView], now: float) -> float | None:
    """Return the shortest `remaining_wait` of some upstreams, in seconds.

    Returns:
        None if one of them accepts requests now, or if all of them are draining.
    """
    waits = [
        remaining_wait(view, now)
        for view in views
        if not (view.listed_draining or view.reported_draining)
    ]
    return min(waits) if waits and min(waits) > 0 else None


def set_limit(table: UpstreamTable, name: str, limit: GrantedLimit | None) -> None:
    """Set or clear the rate limit of an upstream if the configuration contains it."""
    view = table.views.get(name)
    if view is not None:
        view.limit = limit


def remaining_wait(view: UpstreamView, now: float) -> float:
    """Return the time until back-off and rate limit permit a request, in seconds; 0 if they do."""
    return max(0.0, view.backoff_until - now, grant_wait(view.limit, now))


def is_usable(view: UpstreamView, now: float, within: float = 0.0) -> bool:
    """Return whether an upstream may receive new requests, now or within some seconds."""
    if remaining_wait(view, now) > within:
        return False
    if view.listed_draining or view.reported_draining or view.reported_down:
        return False
    return now + within >= view.suspect_until


def apply_report(view: UpstreamView, *, live: bool, draining: bool, running: int) -> None:
    """Apply the report of a box that monitors an upstream.

    Args:
        view: The upstream.
        live: Whether it answered.
        draining: Whether it reported that it is draining.
        running: Requests in progress that it reported.
    """
    view.reported_down = not live
    if live:
        view.reported_draining = draining
        view.reported_load = running


def apply_draining_list(table: UpstreamTable, draining: set[str]) -> None:
    """Apply the platform's list of draining upstreams.

    Args:
        table: The table.
        draining: Addresses of the draining upstreams.
    """
    for view in table.views.values():
        view.listed_draining = view.upstream.address in draining


def suspected_engines(table: UpstreamTable, now: float) -> list[UpstreamView]:
    """Return the suspected engines that may be probed now."""
    return [
        view
        for view in table.views.values()
        if view.upstream.kind is UpstreamKind.ENGINE
        and now < view.suspect_until
        and not is_backing_off(view, now)
    ]
