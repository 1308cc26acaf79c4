"""Metrics page: counters, gauges and histograms as text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..http1 import HttpSite, serve_http1
from ..http1.crowding import MONITORS_SHARE, UNCOUNTED_BYTES, ConnectionCounts
from ..model import Problem, ResultCode
from ..model.traffic import CallerLimits
from .plain_problems import write_problem
from .supervisor import Child, ChildState, failing_children

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from hdrh.histogram import HdrHistogram

    from ..http1 import Exchange, HttpRequest
    from ..http1.byte_account import ByteAccount
    from ..http1.server import Handler
    from ..model.demand import ClassDemand

METRICS_PATH: Final = b"/metrics"
QUANTILES: Final = (50.0, 95.0, 99.0, 100.0)
"""Percentiles on the page; the last one is the maximum."""

MONITOR_LIMITS: Final = CallerLimits(body_bytes=UNCOUNTED_BYTES)
"""Limits on requests of monitoring, which have no body."""

OK: Final = 200


def histogram_lines(name: str, histogram: HdrHistogram) -> list[str]:
    """Return the lines of a histogram: its count and quantiles.

    Args:
        name: Middle part of the metric name.
        histogram: Times in microseconds; the page shows seconds.
    """
    lines = [f"ledgeladder_{name}_seconds_count {histogram.get_total_count()}"]
    for quantile in QUANTILES:
        seconds = histogram.get_value_at_percentile(quantile) / 1e6
        label = f'quantile="{quantile / 100:g}"'
        lines.append(f"ledgeladder_{name}_seconds{{{label}}} {seconds:.6f}")
    return lines


def counter_lines(counters: Mapping[str, int]) -> list[str]:
    """Return the lines of counters, sorted by name."""
    return [
        f'ledgeladder_events_total{{event="{name}"}} {count}'
        for name, count in sorted(counters.items())
    ]


def gauge_lines(gauges: Mapping[str, float]) -> list[str]:
    """Return the lines of gauges, in the given order."""
    return [f"ledgeladder_{name} {value:g}" for name, value in gauges.items()]


def account_gauges(account: ByteAccount) -> dict[str, float]:
    """Return the gauges of the bytes that a process holds for others."""
    return {
        "held_bytes": float(account.taken_bytes),
        "held_bytes_most": float(account.peak_bytes),
        "held_bytes_limit": float(account.limit_bytes),
        "held_bytes_evictions": float(account.evicted),
        "held_bytes_refusals": float(account.refused),
    }


def escape_label(name: str) -> str:
    r"""Escape a label value.

    >>> escape_label('a"b')
    'a\\"b'
    """
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def child_gauges(states: dict[str, ChildState], now: float) -> dict[str, float]:
    """Return gauges of the supervised tasks that have failed since the start of the process.

    Args:
        states: States of the children by name.
        now: Monotonic time.
    """
    failing = failing_children(states, now)
    gauges: dict[str, float] = {}
    for name, state in states.items():
        if state.total_failures:
            label = f'{{child="{escape_label(name)}"}}'
            gauges[f"child_failures{label}"] = float(state.total_failures)
            gauges[f"child_failing{label}"] = float(name in failing)
    return gauges


def demand_series(found: Sequence[tuple[str, ClassDemand]], most: int) -> dict[str, float]:
    """Return gauges of demand, and of how many series were left out.

    Args:
        found: Label sets, with braces, and the demand of each.
        most: Maximum number of label sets on the page; the first ones are shown.
    """
    gauges: dict[str, float] = {}
    for labels, item in found[:most]:
        gauges[f"demand_asked_per_second{labels}"] = item.asked
        gauges[f"demand_admitted_per_second{labels}"] = item.admitted
        gauges[f"demand_tokens_per_second{labels}"] = item.tokens
    gauges["demand_series_left_out"] = float(max(0, len(found) - most))
    return gauges


def metrics_child(address: str, lines: Callable[[], list[str]]) -> Child:
    """Return the child that serves the metrics page.

    Args:
        address: `host:port` to listen on.
        lines: Returns the lines of the page.
    """

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        if request.target != METRICS_PATH:
            await write_problem(exchange, Problem(code=ResultCode.NOT_FOUND))
            return
        body = "\n".join(lines()) + "\n"
        await exchange.answer(OK, [(b"Content-Type", b"text/plain; version=0.0.4")], body.encode())

    site = build_monitor_site(handle)
    return Child(name="metrics", run=lambda: serve_http1(address, site))


def build_monitor_site(handler: Handler) -> HttpSite:
    """Build a site that only monitoring reads, with few connections and no bodies.

    Args:
        handler: Answers its requests.
    """
    return HttpSite(
        handler=handler,
        write_problem=write_problem,
        limits=lambda: MONITOR_LIMITS,
        connection_counts=ConnectionCounts(share=MONITORS_SHARE),
    )
