"""Watching upstreams: load reports by a few boxes each, and probes of suspected engines."""

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

if TYPE_CHECKING:
    from ...coordination.membership import Membership
    from ...routing.upstream_table import UpstreamView
    from .context import EntryContext

WATCH_SECONDS: Final = 1.0
"""Time between two looks at an upstream by one box."""

WATCHERS: Final = 2
"""Boxes of an upstream's failure domain that watch it."""

MISSES: Final = 2
"""Looks without an answer after which an upstream is reported as down."""

REPORT_CHANGE: Final = 0.25
"""Share by which the load must change to be reported again."""

REPORT_SECONDS: Final = 10.0
"""A report is renewed after this time even without a change."""

PROBE_SECONDS: Final = 0.3
"""Time between two probes of a suspected engine."""


async def watch_upstreams(context: EntryContext, membership: Membership) -> None:
    """Look at the engines that this box watches, for ever, and report what changed."""
    misses: dict[str, int] = {}
    while True:
        await anyio.sleep(WATCH_SECONDS * random.uniform(0.8, 1.2))
        async with anyio.create_task_group() as tasks:
            for view in list(context.upstreams.views.values()):
                if _is_watched_here(membership, view) and not is_backing_off(view, now()):
                    tasks.start_soon(_look, context, membership, view, misses)


def _is_watched_here(membership: Membership, view: UpstreamView) -> bool:
    upstream = view.upstream
    if upstream.kind is not UpstreamKind.ENGINE:
        return False
    if upstream.failure_domain != membership.failure_domain:
        return False
    return membership.name in watchers(membership, upstream.name, WATCHERS)


async def _look(
    context: EntryContext, membership: Membership, view: UpstreamView, misses: dict[str, int]
) -> None:
    name = view.upstream.name
    try:
        load = await read_load(context.client, view.upstream.address)
    except BackoffRequestedError as error:
        record_backoff(view, error.seconds, now())
        return
    misses[name] = 0 if load is not None else misses.get(name, 0) + 1
    if load is None and misses[name] < MISSES:
        return
    report = UpstreamReport(
        name=name,
        version=wall_clock_ms(),
        live=load is not None,
        leaving=load is not None and load.leaving,
        running=load.running if load is not None else 0,
    )
    if worth_reporting(membership.reports.get(name), report):
        merge_report(membership, report)
        adopt_reports(context, membership)


def worth_reporting(last: UpstreamReport | None, report: UpstreamReport) -> bool:
    """Tell whether a report differs enough from the last one to be passed on.

    Args:
        last: The newest report that all boxes know.
        report: What was just seen.

    Returns:
        True if state or load changed, or if the last report is old.
    """
    if last is None or (last.live, last.leaving) != (report.live, report.leaving):
        return True
    if report.version - last.version >= REPORT_SECONDS * 1000:
        return True
    return abs(report.running - last.running) > max(1.0, last.running * REPORT_CHANGE)


def adopt_reports(context: EntryContext, membership: Membership) -> None:
    """Take over all reports into the table that routes are chosen from."""
    for name, report in membership.reports.items():
        view = context.upstreams.views.get(name)
        if view is not None:
            apply_report(view, live=report.live, draining=report.leaving, running=report.running)


async def probe_suspects(context: EntryContext) -> None:
    """Probe engines that failed this box, for ever, and trust those that answer."""
    while True:
        await anyio.sleep(PROBE_SECONDS * random.uniform(0.8, 1.2))
        async with anyio.create_task_group() as tasks:
            for view in suspected_engines(context.upstreams, now()):
                tasks.start_soon(_probe, context, view)


async def responds_to_probe(context: EntryContext, address: str) -> bool:
    """Probe an engine, with as much patience as answered probes suggest.

    Args:
        context: The entry's state.
        address: `host:port` of the engine.

    Returns:
        False if it did not answer in time.
    """
    began = now()
    live = await is_live(
        context.client, address, seconds=adaptive_probe_timeout(context.probe_pace)
    )
    if live:
        record_gap(context.probe_pace, now() - began)
    return live


async def _probe(context: EntryContext, view: UpstreamView) -> None:
    if await responds_to_probe(context, view.upstream.address):
        record_success(view)


async def probe_failure_domain(context: EntryContext, failure_domain: str) -> None:
    """Probe all engines of a failure domain after one of them was lost.

    A cut takes them all at once; without this each would cost some request a stall.

    Args:
        context: The entry's state.
        failure_domain: The failure domain.
    """

    async def check(view: UpstreamView) -> None:
        if not await responds_to_probe(context, view.upstream.address):
            record_failure(view, now())

    async with anyio.create_task_group() as tasks:
        for view in list(context.upstreams.views.values()):
            engine = view.upstream.kind is UpstreamKind.ENGINE
            asked = engine and not is_backing_off(view, now())
            if asked and view.upstream.failure_domain == failure_domain:
                tasks.start_soon(check, view)
