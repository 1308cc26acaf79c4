"""Checks the load of engines, shares the reports, and probes suspected engines.

Each engine is checked by a few boxes of its failure domain.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.membership import UpstreamReport, merge_report, watchers
from ...http1 import BackoffRequestedError
from ...model import UpstreamKind
from ...routing.pace import adaptive_probe_timeout, record_gap
from ...routing.upstream_table import (
    apply_report,
    is_backing_off,
    record_backoff,
    record_failure,
    record_success,
    suspected_engines,
)
from ...upstreams.engine import is_live, read_load
from ..clock import now, wall_clock_ms
from .context import run_in_background

if TYPE_CHECKING:
    from collections.abc import Collection

    from ...coordination.membership import Membership
    from ...model import Route
    from ...routing.upstream_table import UpstreamView
    from .context import EntryContext

CHECK_INTERVAL_SECONDS: Final = 1.0
"""Mean interval at which a box checks an engine."""

WATCHERS_PER_ENGINE: Final = 2
"""Number of boxes that check an engine."""

MISSES_UNTIL_DOWN: Final = 2
"""Number of unanswered checks after which an engine is reported as down."""

MIN_LOAD_CHANGE_SHARE: Final = 0.25
"""Share of the reported load by which it must change to be reported again."""

REPORT_RENEWAL_SECONDS: Final = 10.0
"""Age at which a report is renewed even without a change."""

PROBE_INTERVAL_SECONDS: Final = 0.3
"""Mean interval at which a suspected engine is probed."""


async def watch_upstreams(context: EntryContext, membership: Membership) -> None:
    """Check the engines assigned to this box and report changes; runs until cancelled."""
    missed_checks: dict[str, int] = {}
    while True:
        await anyio.sleep(CHECK_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
        async with anyio.create_task_group() as tasks:
            for view in list(context.upstreams.views.values()):
                if _is_watched_here(membership, view) and not is_backing_off(view, now()):
                    tasks.start_soon(_check_engine, context, membership, view, missed_checks)


def _is_watched_here(membership: Membership, view: UpstreamView) -> bool:
    upstream = view.upstream
    if upstream.kind is not UpstreamKind.ENGINE:
        return False
    if upstream.failure_domain != membership.failure_domain:
        return False
    return membership.name in watchers(membership, upstream.name, WATCHERS_PER_ENGINE)


async def _check_engine(
    context: EntryContext, membership: Membership, view: UpstreamView, missed_checks: dict[str, int]
) -> None:
    name = view.upstream.name
    try:
        load = await read_load(context.client, view.upstream.address)
    except BackoffRequestedError as error:
        record_backoff(view, error.seconds, now())
        return
    missed_checks[name] = 0 if load is not None else missed_checks.get(name, 0) + 1
    if load is None and missed_checks[name] < MISSES_UNTIL_DOWN:
        return
    report = UpstreamReport(
        name=name,
        version=wall_clock_ms(),
        live=load is not None,
        draining=load is not None and load.leaving,
        running=load.running if load is not None else 0,
    )
    if should_report(membership.reports.get(name), report):
        merge_report(membership, report)
        apply_reports(context, membership)


def should_report(last: UpstreamReport | None, report: UpstreamReport) -> bool:
    """Return whether a report differs enough from the last one to be shared.

    Args:
        last: The newest shared report.
        report: The result of the latest check.

    Returns:
        True if the state or the load changed, or if the last report is due for renewal.
    """
    if last is None or (last.live, last.draining) != (report.live, report.draining):
        return True
    if report.version - last.version >= REPORT_RENEWAL_SECONDS * 1000:
        return True
    return abs(report.running - last.running) > max(1.0, last.running * MIN_LOAD_CHANGE_SHARE)


def apply_reports(context: EntryContext, membership: Membership) -> None:
    """Apply all reports to the table from which routes are chosen."""
    for name, report in membership.reports.items():
        view = context.upstreams.views.get(name)
        if view is not None:
            apply_report(view, live=report.live, draining=report.draining, running=report.running)


async def probe_suspects(context: EntryContext) -> None:
    """Probe suspected engines and clear those that answer; runs until cancelled."""
    while True:
        await anyio.sleep(PROBE_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
        async with anyio.create_task_group() as tasks:
            for view in suspected_engines(context.upstreams, now()):
                tasks.start_soon(_probe_suspect, context, view)


async def responds_to_probe(context: EntryContext, address: str) -> bool:
    """Probe an engine, with a timeout based on the times of answered probes.

    Args:
        context: The entry's state.
        address: `host:port` of the engine.

    Returns:
        False if it did not answer in time.
    """
    started_at = now()
    live = await is_live(
        context.client, address, seconds=adaptive_probe_timeout(context.probe_pace)
    )
    if live:
        record_gap(context.probe_pace, now() - started_at)
    return live


async def _probe_suspect(context: EntryContext, view: UpstreamView) -> None:
    if await responds_to_probe(context, view.upstream.address):
        record_success(view)


async def find_silent_stages(context: EntryContext, route: Route) -> frozenset[str]:
    """Probe all stages of a route concurrently and return those that do not answer."""
    silent: set[str] = set()

    async def probe(upstream: str, address: str) -> None:
        if not await responds_to_probe(context, address):
            silent.add(upstream)

    async with anyio.create_task_group() as tasks:
        for stage in route.stages:
            tasks.start_soon(probe, stage.upstream, stage.address)
    return frozenset(silent)


def record_silence(context: EntryContext, names: Collection[str]) -> None:
    """Suspect engines that do not answer, and probe the others of their failure domains.

    Args:
        context: The entry's state.
        names: Names of the engines.
    """
    views = [context.upstreams.views.get(name) for name in names]
    silent = [view for view in views if view is not None]
    for view in silent:
        record_failure(view, now())
    for domain in sorted({view.upstream.failure_domain for view in silent}):
        run_in_background(context, probe_failure_domain, context, domain)


def is_suspected(context: EntryContext, name: str) -> bool:
    """Return whether an engine has not answered since it was suspected, or has been removed."""
    view = context.upstreams.views.get(name)
    return view is None or now() < view.suspect_until


async def probe_failure_domain(context: EntryContext, failure_domain: str) -> None:
    """Probe all engines of a failure domain after one of them was lost.

    A partition cuts all of them off at once. Without the probes, each would stall a request.

    Args:
        context: The entry's state.
        failure_domain: The failure domain.
    """

    async def check(view: UpstreamView) -> None:
        if not await responds_to_probe(context, view.upstream.address):
            record_failure(view, now())

    async with anyio.create_task_group() as tasks:
        for view in list(context.upstreams.views.values()):
            is_engine = view.upstream.kind is UpstreamKind.ENGINE
            is_checked = is_engine and not is_backing_off(view, now())
            if is_checked and view.upstream.failure_domain == failure_domain:
                tasks.start_soon(check, view)
