"""The metrics page of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...routing.fleet_demand import has_totals
from ...routing.return_times import expire_places
from ..metrics_page import child_gauges, counter_lines, gauge_lines, histogram_lines
from .demand_gauges import demand_gauges
from .room_gauges import room_gauges

if TYPE_CHECKING:
    from .state import GatewayState


def metrics_lines(state: GatewayState) -> list[str]:
    """Return the lines for a gateway's counters, histograms and gauges."""
    now = anyio.current_time()
    metrics = state.metrics
    gauges = {
        "document_version": float(state.version),
        "document_confirmed_age_seconds": now - state.freshness.as_of,
        "control_links": float(len(state.peers.links) if state.peers is not None else 0),
        "demand_known": float(has_totals(state.demand, now)),
        "upstreams": float(len(state.table.upstreams)),
        "upstreams_avoided": float(
            sum(item.avoid_until > now for item in state.table.upstreams.values())
        ),
        "full_reports_dropped": float(
            state.full_reports.dropped if state.full_reports is not None else 0
        ),
        "prompts_pending": float(
            sum(item.pending_prompts for item in state.table.upstreams.values())
        ),
        "connections_closed_unread": float(state.accept_queue.shed),
        "upstream_connections_opened": float(state.reach.opened),
        "upstream_connections_failed": float(state.reach.failed),
        "upstream_connection_age_seconds": now - state.reach.last_opened_at,
        "box_cut_off_seconds": (
            now - state.reach.cut_since if state.reach.cut_since is not None else 0.0
        ),
        "upstream_connections_relayed": float(state.reach.relayed),
        "relays_open": float(state.relays_open),
        "relay_peers": float(len(state.relay_peers.known)),
        "upstreams_resting": float(len(state.backoff_watch.upstreams)),
        "return_places": float(
            sum(expire_places(book, now) for book in state.return_books.values())
        ),
    }
    return [
        *counter_lines(metrics.counters),
        *histogram_lines("answer", metrics.answer),
        *histogram_lines("first_event", metrics.first_event),
        *histogram_lines("event_gap", metrics.gap),
        *gauge_lines(gauges),
        *gauge_lines(child_gauges(state.children, now)),
        *gauge_lines(demand_gauges(state, now)),
        *gauge_lines(room_gauges(state, now)),
    ]
