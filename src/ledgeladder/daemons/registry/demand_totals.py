"""Sums the demand that entry boxes report to this and to other control boxes; sends the sums."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...links import post_to_all
from ...links.frames import encode_frame
from ...links.messages import DemandShare, DemandTotals
from ...routing.demand_sums import (
    SHARES_BYTES_PER_SECOND,
    TOTAL_ACCOUNTS,
    TOTALS_BYTES_PER_SECOND,
    is_demand_due,
    keep_heaviest,
    shorten_message,
    sum_domains,
    sum_pools,
)
from ...routing.load_sharing import LOAD_VALID_SECONDS, report_interval
from ..metrics_page import demand_series, escape_label
from ..peers import demand_links
from .load_totals import count_entries
from .state import ReportedDemand, ReportedDemandShare

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from ...links import Link
    from ...links.messages import DemandReport, LinkMessage
    from ...routing.demand_sums import Pools
    from .state import RegistryState


MAX_SERIES: Final = 720
"""Maximum number of classes by failure domain on the metrics page; further ones are left out and
counted in a gauge. A share has room for as many before it expires."""


class SentDemand(msgspec.Struct, kw_only=True):
    """The latest share or totals that were sent."""

    message: LinkMessage | None = None
    """The message; None before the first."""

    size: int = 0
    """Its size in bytes."""

    sent_at: float = float("-inf")
    """When it was sent, on the monotonic clock."""


def record_demand_report(
    state: RegistryState, link: Link, report: DemandReport, now: float
) -> None:
    """Record the demand report of an entry box in place of its previous one.

    Args:
        state: State of the process.
        link: Link of the entry box.
        report: The report.
        now: Monotonic time.
    """
    if link.peer is None:
        return
    state.demands[link.peer.instance] = ReportedDemand(
        link=link,
        failure_domain=link.peer.failure_domain,
        pools=report.pools,
        reported_at=now,
    )


def record_demand_share(state: RegistryState, link: Link, share: DemandShare, now: float) -> None:
    """Record the demand share of another control box in place of its previous one.

    Args:
        state: State of the process.
        link: Link of the control box.
        share: The share.
        now: Monotonic time.
    """
    state.demand_shares[link.peer_box] = ReportedDemandShare(
        link=link, domains=share.domains, entries=share.entries, reported_at=now
    )


def forget_demand(state: RegistryState, link: Link) -> None:
    """Drop the report or share that arrived on a link which has closed.

    Entry boxes of a control box that ended report to others within an interval, so keeping its
    share would count them twice.
    """
    state.demands = {name: item for name, item in state.demands.items() if item.link is not link}
    state.demand_shares = {
        name: item for name, item in state.demand_shares.items() if item.link is not link
    }


def drop_expired_demand(state: RegistryState, now: float) -> None:
    """Drop reports and shares that are older than `LOAD_VALID_SECONDS`."""
    oldest = now - LOAD_VALID_SECONDS
    state.demands = {
        name: item for name, item in state.demands.items() if item.reported_at >= oldest
    }
    state.demand_shares = {
        name: item for name, item in state.demand_shares.items() if item.reported_at >= oldest
    }


def local_demand(state: RegistryState) -> dict[str, Pools]:
    """Return the demand at the entry boxes that report here, by failure domain and pool."""
    return sum_domains({item.failure_domain: item.pools} for item in state.demands.values())


def domain_demand(state: RegistryState) -> dict[str, Pools]:
    """Return the demand at all entry boxes, by failure domain and pool."""
    shares = (item.domains for item in state.demand_shares.values())
    return sum_domains([local_demand(state), *shares])


def build_demand_share(state: RegistryState) -> tuple[DemandShare, int]:
    """Return the share for other control boxes, and its size in bytes."""
    domains = local_demand(state)
    return shorten_message(
        lambda accounts: DemandShare(
            domains={name: keep_heaviest(pools, accounts) for name, pools in domains.items()},
            entries=len(state.demands),
        ),
        _frame_bytes,
        TOTAL_ACCOUNTS,
        SHARES_BYTES_PER_SECOND,
    )


def build_demand_totals(state: RegistryState) -> tuple[DemandTotals, int]:
    """Return the totals for entry boxes, and their size in bytes."""
    pools = sum_pools(domain_demand(state).values())
    entries = len(state.demands) + sum(item.entries for item in state.demand_shares.values())
    return shorten_message(
        lambda accounts: DemandTotals(pools=keep_heaviest(pools, accounts), entries=entries),
        _frame_bytes,
        TOTAL_ACCOUNTS,
        TOTALS_BYTES_PER_SECOND,
    )


def _frame_bytes(message: LinkMessage) -> int:
    return len(encode_frame(message))


async def broadcast_demand(state: RegistryState) -> None:
    """Send shares to control boxes and totals to reporting entry boxes, until cancelled.

    Boxes that have not said that they read them get none.
    """
    last_share, last_totals = SentDemand(), SentDemand()
    while True:
        controls = len(state.peers.known) + 1
        await anyio.sleep(report_interval(count_entries(state), controls))
        now = anyio.current_time()
        drop_expired_demand(state, now)
        _send_due(
            last_share,
            lambda: build_demand_share(state),
            demand_links(state.peers),
            SHARES_BYTES_PER_SECOND,
            now,
        )
        reporting = [item.link for item in state.demands.values()]
        _send_due(
            last_totals, lambda: build_demand_totals(state), reporting, TOTALS_BYTES_PER_SECOND, now
        )


def _send_due(
    last: SentDemand,
    build: Callable[[], tuple[LinkMessage, int]],
    links: Collection[Link],
    rate: float,
    now: float,
) -> None:
    """Send a message if it is due and the rate allows it."""
    elapsed = now - last.sent_at
    if not links or not is_demand_due(True, elapsed, last.size, rate):
        return
    message, size = build()
    if is_demand_due(message != last.message, elapsed, last.size, rate):
        post_to_all(links, message)
        last.message, last.size, last.sent_at = message, size, now


def demand_gauges(state: RegistryState, now: float) -> Mapping[str, float]:
    """Return the rates for the metrics page, by pool, priority and failure domain.

    Args:
        state: State of the process.
        now: Monotonic time.
    """
    drop_expired_demand(state, now)
    found = [
        (
            f'{{pool="{escape_label(pool)}",priority="{priority}",'
            f'failure_domain="{escape_label(domain)}"}}',
            item,
        )
        for domain, pools in sorted(domain_demand(state).items())
        for pool, demand in sorted(pools.items())
        for priority, item in sorted(demand.classes.items())
    ]
    return demand_series(found, MAX_SERIES)
