"""Reports of this box's demand to a control box, and the totals received from it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...links.frames import encode_frame
from ...links.messages import DemandReport
from ...routing.demand_sums import (
    REPORT_ACCOUNTS,
    is_demand_due,
    keep_heaviest,
    shorten_message,
)
from ...routing.fleet_demand import (
    apply_totals,
    demand_age,
    demand_report,
    has_totals,
    record_reported,
)
from ...routing.load_sharing import MAX_REPORT_SECONDS, report_interval
from ..peers import primary_of

if TYPE_CHECKING:
    from ...links import Link
    from ...links.messages import DemandTotals
    from .state import GatewayState

logger = logging.getLogger(__name__)


async def report_demand(state: GatewayState, address: str, link: Link) -> None:
    """Report this box's demand to a control box until cancelled.

    Reports are sent only while the control box is the preferred one and says that it reads them. An
    empty one is sent too: it tells that this box reads totals. When another control box becomes the
    preferred one, the report is withdrawn by an empty one.
    """
    peers = state.peers
    assert peers is not None
    sent: DemandReport | None = None
    sent_at, sent_bytes = 0.0, 0
    while True:
        if address not in peers.demand_readers:
            sent = None
        elif primary_of(peers) != address:
            if sent is not None and sent.pools:
                link.post(DemandReport(pools={}))
            sent = None
        else:
            now = anyio.current_time()
            report, size = _build_demand_report(state, now)
            if sent is None or is_demand_due(report != sent, now - sent_at, sent_bytes):
                link.post(report)
                record_reported(state.demand, report.pools)
                state.metrics.counters["demand-reported"] += 1
                sent, sent_at, sent_bytes = report, now, size
        await anyio.sleep(report_interval(state.entry_count, len(peers.known)))


def _build_demand_report(state: GatewayState, now: float) -> tuple[DemandReport, int]:
    """Return the report of the contended pools, and its size in bytes."""
    pools = demand_report(state.demand, state.contended, now)
    return shorten_message(
        lambda accounts: DemandReport(pools=keep_heaviest(pools, accounts)),
        lambda message: len(encode_frame(message)),
        REPORT_ACCOUNTS,
    )


def handle_demand_totals(state: GatewayState, message: DemandTotals) -> None:
    """Apply the totals of all entry boxes."""
    apply_totals(state.demand, message.pools, message.entries, anyio.current_time())
    state.metrics.counters["demand-totals"] += 1


async def log_demand_changes(state: GatewayState) -> None:
    """Log when the demand at the other boxes becomes known or unknown; runs until cancelled."""
    known = False
    while True:
        now = anyio.current_time()
        if has_totals(state.demand, now) is not known:
            known = not known
            if known:
                logger.info("fleet demand known", extra={"entries": state.demand.totals_entries})
            else:
                age = demand_age(state.demand, now) or 0.0
                logger.warning("fleet demand not known", extra={"age": round(age, 3)})
        await anyio.sleep(MAX_REPORT_SECONDS)
