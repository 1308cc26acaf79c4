"""Metrics of a registry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...routing.repeat_loans import kept_quota
from ..metrics_page import child_gauges, counter_lines, gauge_lines
from .demand_totals import demand_gauges

if TYPE_CHECKING:
    from collections import Counter

    from .state import RegistryState


def metrics_lines(state: RegistryState, counters: Counter[str]) -> list[str]:
    """Return the lines of the metrics page with all counters and gauges."""
    replica = state.node.replica
    now = anyio.current_time()
    gauges = {
        "document_version": float(state.node.state.published.version),
        "log_term": float(replica.term),
        "log_commit_index": float(replica.commit_index),
        "log_leads": float(replica.is_leader),
        "log_voters": float(len(replica.log.members.voters)),
        "journal_bytes": float(state.node.journal.size),
        "journal_syncs": float(state.node.syncs),
        "upstreams": float(len(state.table.known)),
        "entry_links": float(len(state.entry_links)),
        "control_links": float(len(state.peers.links)),
        "full_notices_dropped": float(
            state.notices.to_controls.dropped + state.notices.to_entries.dropped
        ),
        "demand_reports": float(len(state.demands)),
        "retry_quota_kept": sum(kept_quota(item, now) for item in state.quota_ledgers.values()),
        "orders_unconfirmed": float(len(state.order_ledger.sent)),
    }
    gauges.update(demand_gauges(state, anyio.current_time()))
    gauges.update(child_gauges(state.children, now))
    return [*counter_lines(counters), *gauge_lines(gauges)]
