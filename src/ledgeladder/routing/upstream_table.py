"""What one entry box knows of each upstream: own requests in progress, health, reported load."""

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
"""How long a service is passed over after a failure; doubles with each failure in a row."""

MAX_SUSPECT_SECONDS: Final = 8.0


class UpstreamView(msgspec.Struct, kw_only=True):
    """One upstream as this box sees it."""

    upstream: Upstream
    """Its object in the configuration."""

    in_flight: int = 0
    """Requests of this box that it is working on."""

    reported_load: float = 0.0
    """Requests that it last said to be working on, those of other boxes included."""

    listed_draining: bool = False
    """True if the platform's list says that it is leaving."""

    reported_draining: bool = False
    """True if it said itself that it is leaving."""

    reported_down: bool = False
    """True if the boxes that watch it get no answer."""

    backoff_until: float = -math.inf
    """Until when it wants nothing from this box, as it said, on the monotonic clock."""

    limit: GrantedLimit | None = None
    """Requests a second that it takes from all boxes together; None if it has named none."""

    suspect_until: float = 0.0
    """Until when it is passed over because of failures, on the monotonic clock."""

    failures: int = 0
    """Failures in a row."""


class UpstreamTable(msgspec.Struct, kw_only=True):
    """All upstreams of the configuration in force."""

    views: dict[str, UpstreamView] = msgspec.field(default_factory=dict)
    """Views by name."""

    limits: GrantedLimitTable = msgspec.field(default_factory=GrantedLimitTable)
    """Requests a second that upstreams take from all boxes together, by name."""


def update_upstreams(table: UpstreamTable, configuration: Configuration) -> None:
    """Bring the table in line with a configuration, keeping what is known of each upstream.

    Args:
        table: The table.
        configuration: The configuration that comes into force.
    """
    kept: dict[str, UpstreamView] = {}
    for name, upstream in configuration.upstreams.items():
        view = table.views.get(name)
        if view is not None and view.upstream.address != upstream.address:
            # Another process, which has named nothing yet.
            table.limits.limits.pop(name, None)
            view = None
        if view is None:
            view = UpstreamView(upstream=upstream, limit=table.limits.limits.get(name))
        view.upstream = upstream
        kept[name] = view
    table.views = kept


def record_failure(view: UpstreamView, now: float) -> None:
    """Pass an upstream over after a failure.

    An engine is passed over until it answers a probe, so that no request finds out again that it
    is gone. A service has no probe and is passed over for a while, longer with each failure.

    Args:
        view: The upstream.
        now: Monotonic time in seconds.
    """
    view.failures += 1
    if view.upstream.kind is UpstreamKind.ENGINE:
        view.suspect_until = math.inf
        return
    pause = min(SUSPECT_SECONDS * 2 ** (view.failures - 1), MAX_SUSPECT_SECONDS)
    view.suspect_until = now + pause


def record_success(view: UpstreamView) -> None:
    """Trust an upstream again."""
    view.failures = 0
    view.suspect_until = 0.0


def record_backoff(view: UpstreamView, seconds: float, now: float) -> None:
    """Take in that an upstream wants nothing for some time; a shorter one shortens no earlier one.

    Unlike a time of suspicion it is no guess of this box, and no answer to an earlier request ends
    it.

    Args:
        view: The upstream.
        seconds: How long.
        now: Monotonic time in seconds.
    """
    until = now + seconds
    if until <= max(now, view.backoff_until):
        return
    view.backoff_until = until
    logger.warning(
        "upstream asks for rest",
        extra={"upstream": view.upstream.name, "seconds": round(seconds, 3)},
    )


def is_backing_off(view: UpstreamView, now: float) -> bool:
    """Tell whether an upstream wants nothing from this box right now."""
    return now < view.backoff_until


def min_remaining_wait(views: Iterable[UpstreamView], now: float) -> float | None:
    """Return when the first of some upstreams wants work again, in seconds.

    Returns:
        None if one of them wants some, or there are none. Those that leave count for nothing.
    """
    waits = [
        remaining_wait(view, now)
        for view in views
        if not (view.listed_draining or view.reported_draining)
    ]
    return min(waits) if waits and min(waits) > 0 else None


def set_limit(table: UpstreamTable, name: str, limit: GrantedLimit | None) -> None:
    """Give an upstream its limit, or take it away, if the configuration names it."""
    view = table.views.get(name)
    if view is not None:
        view.limit = limit


def remaining_wait(view: UpstreamView, now: float) -> float:
    """Return when an upstream wants work again, as far as it said so, in seconds; 0 if it does."""
    return max(0.0, view.backoff_until - now, grant_wait(view.limit, now))


def is_usable(view: UpstreamView, now: float, within: float = 0.0) -> bool:
    """Tell whether new work may go to an upstream, now or within some seconds."""
    if remaining_wait(view, now) > within:
        return False
    if view.listed_draining or view.reported_draining or view.reported_down:
        return False
    return now + within >= view.suspect_until


def apply_report(view: UpstreamView, *, live: bool, draining: bool, running: int) -> None:
    """Take over what a watching box saw of an upstream.

    Args:
        view: The upstream.
        live: Whether it answered.
        draining: Whether it said that it is leaving.
        running: Requests that it said to be working on.
    """
    view.reported_down = not live
    if live:
        view.reported_draining = draining
        view.reported_load = running


def apply_draining_list(table: UpstreamTable, draining: set[str]) -> None:
    """Take over the platform's list of leaving upstreams.

    Args:
        table: The table.
        draining: Addresses that the list calls leaving.
    """
    for view in table.views.values():
        view.listed_draining = view.upstream.address in draining


def suspected_engines(table: UpstreamTable, now: float) -> list[UpstreamView]:
    """Return the engines that are passed over until they answer a probe, and want to be asked."""
    return [
        view
        for view in table.views.values()
        if view.upstream.kind is UpstreamKind.ENGINE
        and now < view.suspect_until
        and not is_backing_off(view, now)
    ]
