"""The gateway process, which connects callers with registered upstreams."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import HttpSite, serve_http1
from ...links import AcceptQueue, accept_connections, listen_tcp
from ...links.messages import PeerRole
from ...settings import load_gateway_settings
from ..limit_keeper import run_rate_limiter
from ..logs import log_child
from ..metrics_page import metrics_child
from ..peers import Peers, own_identity, run_peers
from ..reloading import SeedList, reload_seeds
from ..signals import on_stop_signal
from ..supervisor import Child, Restart, supervise
from .app import build_caller_site
from .backpressure import log_backoff_ends
from .control_link import serve_control_link
from .demand_reports import log_demand_changes
from .reaching import run_reach_checks
from .readiness import build_ready_site
from .state import (
    GatewayState,
    build_admission_queue,
    build_room_admission,
    rate_limiter_of,
)
from .waiting import run_queue

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import SocketStream

    from ...links import Link
    from ...settings import GatewaySettings

logger = logging.getLogger(__name__)

NOTICE_SHARE: Final = 0.36
"""Share of a planned stop's time in which new connections are still served: the load balancer polls
once a second and needs two failures in a row. The rest is for streams in progress."""

STOP_MARGIN_SECONDS: Final = 0.4
"""Time before the end of a planned stop at which requests in progress are cancelled."""

POLL_SECONDS: Final = 0.05
"""Interval at which a planned stop checks whether requests are still in progress."""

MAX_CONTROL_LINKS: Final = 3
"""Maximum number of links to control boxes. Two may be lost without an interruption, and a site
with three control boxes has a link to each."""

STALE_SECONDS: Final = 2.0
"""Age of the last confirmation after which all known control boxes are tried. Linked control boxes
are polled twice within this time."""

EXPIRY_CHECK_SECONDS: Final = 2.0
"""Interval at which expired idle connections to upstreams are closed."""


def build_state(settings: GatewaySettings) -> GatewayState:
    """Build the state of a gateway process, without a document."""
    state = GatewayState(
        settings=settings,
        start_queue=build_admission_queue(settings),
        upstream_queue=build_admission_queue(settings),
        room=build_room_admission(settings),
    )
    state.table.heartbeat = settings.bounds.heartbeat_ms / 1000.0
    own = settings.box.address

    async def serve(address: str, link: Link) -> None:
        await serve_control_link(state, address, link)

    def is_stale() -> bool:
        confirmed_at = max(state.freshness.as_of, state.started_at)
        return anyio.current_time() - confirmed_at > STALE_SECONDS

    state.peers = Peers(
        identity=own_identity(settings.box, settings.cluster, PeerRole.ENTRY),
        own_address=own,
        link_port=settings.cluster.link_port,
        serve=serve,
        max_links=MAX_CONTROL_LINKS,
        is_stale=is_stale,
    )
    return state


async def run_gateway(settings: GatewaySettings, path: Path) -> None:
    """Run a gateway process until it receives a stop signal.

    Args:
        settings: Settings of the process.
        path: Settings file, which is read again when it changes.
    """
    state = build_state(settings)
    peers = state.peers
    assert peers is not None
    seeds = SeedList(path=path, seeds=settings.cluster.seeds)
    callers = build_caller_site(state)
    ready = build_ready_site(state, callers)
    children = [
        Child(name="callers", run=lambda: serve_http1(settings.gateway.caller_address, callers)),
        Child(name="ready", run=lambda: serve_http1(settings.gateway.ready_address, ready)),
        Child(
            name="peers",
            run=lambda: run_peers(peers, seeds),
            restart=Restart.ALWAYS,
        ),
        Child(
            name="start-queue",
            run=lambda: run_queue(state.start_queue),
            restart=Restart.ALWAYS,
        ),
        Child(
            name="upstream-queue",
            run=lambda: run_queue(state.upstream_queue),
            restart=Restart.ALWAYS,
        ),
        Child(
            name="room-queue",
            run=lambda: run_queue(state.room.queue),
            restart=Restart.ALWAYS,
        ),
        Child(name="rests", run=lambda: log_backoff_ends(state), restart=Restart.ALWAYS),
        Child(name="demand", run=lambda: log_demand_changes(state), restart=Restart.ALWAYS),
        Child(
            name="limits",
            run=lambda: run_rate_limiter(rate_limiter_of(state)),
            restart=Restart.ALWAYS,
        ),
        Child(name="reach", run=lambda: run_reach_checks(state), restart=Restart.ALWAYS),
        *_relay_children(state),
        log_child(),
        metrics_child(
            f"{settings.box.address}:{settings.cluster.metrics_port}", lambda: _metrics_lines(state)
        ),
        Child(name="expiry", run=lambda: _close_expired_connections(state), restart=Restart.ALWAYS),
        Child(
            name="reload",
            run=lambda: reload_seeds(seeds, peers, load_gateway_settings),
            restart=Restart.ALWAYS,
        ),
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(on_stop_signal, lambda: _stop(state, callers), tasks.cancel_scope)
        logger.info("gateway starts", extra={"seeds": list(settings.cluster.seeds)})
        await supervise(children, states=state.children)
    logger.info("gateway stopped", extra={"counters": dict(state.metrics.counters)})


def _relay_children(state: GatewayState) -> list[Child]:
    """Return the child that relays connections of other boxes, if this box has a port for it."""
    if not state.settings.cluster.relay_port:
        return []
    return [Child(name="relay", run=lambda: _serve_relay(state), restart=Restart.ALWAYS)]


async def _serve_relay(state: GatewayState) -> None:
    """Accept connections of other entry boxes until cancelled."""
    box, cluster = state.settings.box, state.settings.cluster
    listener = await listen_tcp(f"{box.address}:{cluster.relay_port}")

    async def serve_one(stream: SocketStream) -> None:
        # Imported here because few boxes relay soon after their start.
        from .relay_server import serve_relayed

        await serve_relayed(state, stream)

    async with listener, anyio.create_task_group() as connections:
        await accept_connections(listener, AcceptQueue(), serve_one, connections, tuned=True)


def _metrics_lines(state: GatewayState) -> list[str]:
    """Return the lines of the metrics page."""
    # Imported here because only readers of the page need it.
    from .metrics import metrics_lines

    return metrics_lines(state)


async def _close_expired_connections(state: GatewayState) -> None:
    while True:
        await anyio.sleep(EXPIRY_CHECK_SECONDS)
        await state.connections.close_expired()


async def _stop(state: GatewayState, callers: HttpSite) -> None:
    """Stop without cancelling requests, if they complete in time.

    The box reports itself as not ready but still serves, then refuses new requests, closes idle
    connections and waits for requests in progress. Those that do not complete in time are
    cancelled and logged.
    """
    state.stopping = True
    callers.stopping = True
    logger.info("planned stop", extra={"in_progress": callers.in_progress})
    limit = state.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
    with anyio.move_on_after(limit) as scope:
        await anyio.sleep(state.settings.bounds.stop_seconds * NOTICE_SHARE)
        callers.listening.cancel()
        state.refusing = True
        callers.close_idle()
        while callers.in_progress or callers.open_connections or state.relays_open:
            await anyio.sleep(POLL_SECONDS)
            callers.close_idle()
    if scope.cancelled_caught:
        state.out_of_time = True
        logger.warning(
            "stopped with requests in progress", extra={"in_progress": callers.in_progress}
        )
