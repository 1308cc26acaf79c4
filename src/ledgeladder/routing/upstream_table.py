"""What one entry box knows of each upstream: own requests in progress, health, reported load."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ..model import Configuration, Upstream

SUSPECT_SECONDS: Final = 1.0
"""How long an upstream is passed over after a failure; doubles with each failure in a row."""

SUSPECT_LIMIT_SECONDS: Final = 8.0


@dataclass(kw_only=True)
class UpstreamView:
    """One upstream as this box sees it."""

    upstream: Upstream
    """Its object in the configuration."""

    in_flight: int = 0
    """Requests of this box that it is working on."""

    reported_load: float = 0.0
    """Requests that it last said to be working on, those of other boxes included."""

    leaving: bool = False
    """True if the platform or the upstream itself said that it is leaving."""

    suspect_until: float = 0.0
    """Until when it is passed over because of failures, on the monotonic clock."""

    failures: int = 0
    """Failures in a row."""


@dataclass(kw_only=True)
class UpstreamTable:
    """All upstreams of the configuration in force."""

    views: dict[str, UpstreamView] = field(default_factory=dict)
    """Views by name."""


def adopt_configuration(table: UpstreamTable, configuration: Configuration) -> None:
    """Bring the table in line with a configuration, keeping what is known of each upstream.

    Args:
        table: The table.
        configuration: The configuration that comes into force.
    """
    kept: dict[str, UpstreamView] = {}
    for name, upstream in configuration.upstreams.items():
        view = table.views.get(name)
        if view is None or view.upstream.address != upstream.address:
            view = UpstreamView(upstream=upstream)
        view.upstream = upstream
        kept[name] = view
    table.views = kept


def note_failure(view: UpstreamView, now: float) -> None:
    """Pass an upstream over for a while, longer with each failure in a row."""
    pause = min(SUSPECT_SECONDS * 2**view.failures, SUSPECT_LIMIT_SECONDS)
    view.failures += 1
    view.suspect_until = now + pause


def note_success(view: UpstreamView) -> None:
    """Trust an upstream again."""
    view.failures = 0
    view.suspect_until = 0.0


def usable(view: UpstreamView, now: float) -> bool:
    """Tell whether new work may go to an upstream."""
    return not view.leaving and now >= view.suspect_until


def note_leaving(table: UpstreamTable, addresses: set[str]) -> None:
    """Take over the platform's list of leaving upstreams.

    An upstream that said so itself stays marked, since the list lags.

    Args:
        table: The table.
        addresses: Addresses that the list calls leaving.
    """
    for view in table.views.values():
        if view.upstream.address in addresses:
            view.leaving = True
