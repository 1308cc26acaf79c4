"""Reports engines that refuse requests for lack of room, and applies notices from other boxes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...coordination.full_notices import NoticeThrottle, pass_notices
from ...links.messages import FullReport
from ...routing.forwarding_table import total_kv
from ...routing.full_engines import NOTICE_INTERVAL_SECONDS, apply_full_notice
from ...routing.layer_coverage import kv_capacity
from ..peers import primary_of
from .stream_paths import count_sharers

if TYPE_CHECKING:
    from ...links import Link
    from ...links.messages import FullNotice
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)


def report_full(state: GatewayState, engine: ForwardedUpstream) -> None:
    """Log that an engine refused a request for lack of room, and report it to a control box.

    Refusals beyond the bounds of reports are neither logged nor reported, nor are those of an
    engine that is draining: it is known to all boxes by its registration. Pools that do not share
    their room by priority have no notices.
    """
    if engine.draining or engine.registration.pool not in state.contended:
        return
    instance = engine.registration.instance
    if state.full_reports is None:
        state.full_reports = NoticeThrottle(interval=NOTICE_INTERVAL_SECONDS)
    if not pass_notices(state.full_reports, (instance,), anyio.current_time()):
        return
    logger.info(
        "engine full",
        extra={
            "upstream": instance,
            "in_flight": engine.in_flight,
            "kv_share": _kv_share(state, engine),
        },
    )
    link = _report_link(state)
    if link is not None:
        link.post(FullReport(instances=(instance,)))
        state.metrics.counters["full-reported"] += 1


def handle_full_notice(state: GatewayState, notice: FullNotice) -> None:
    """Avoid engines that refused requests of other boxes, unless they are the only holders."""
    now = anyio.current_time()
    for instance in notice.instances:
        engine = state.table.upstreams.get(instance)
        if engine is None or engine.registration.pool not in state.contended:
            continue
        pool = state.table.pools.get(engine.registration.pool, [])
        applied = apply_full_notice(pool, engine, now)
        state.metrics.counters["full-noticed" if applied else "full-ignored"] += 1


def _report_link(state: GatewayState) -> Link | None:
    """Return the link to the control box that gets this box's reports if it knows them."""
    if state.peers is None:
        return None
    address = primary_of(state.peers)
    if address is None or address not in state.peers.demand_readers:
        return None
    return state.peers.links[address]


def _kv_share(state: GatewayState, engine: ForwardedUpstream) -> float | None:
    """Return the estimated share of an engine's KV cache in use; None if its size is unknown."""
    registration = engine.registration
    configuration = state.configuration
    pool = configuration.pools.get(registration.pool) if configuration is not None else None
    if pool is None or pool.engine is None:
        return None
    layers = sum(item.end - item.first for item in registration.holdings)
    capacity = kv_capacity(pool.engine, registration.card, layers)
    if not 0.0 < capacity < float("inf"):
        return None
    sharers = count_sharers(state, registration.pool)
    return round(total_kv(engine, anyio.current_time(), sharers) / capacity, 3)
