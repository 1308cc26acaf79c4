"""Entry process: builds its state and supervises its tasks."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Final

import anyio

from ...http1.crowding import build_account
from ...links import Link, LinkIdentity, serve_links
from ...links.messages import PeerRole
from ...routing.admission import Admission
from ...routing.chain import better_of_two, least_loaded, round_robin
from ...routing.upstream_table import apply_draining_list, set_limit
from ...upstreams.box_list import read_box_list
from ..clock import now
from ..http import serve_http, upstream_client
from ..limit_keeper import RateLimiter, run_rate_limiter
from ..logs import log_child
from ..supervisor import Child, Restart, on_stop_signal, supervise
from .caller_api import build_caller_app
from .command_client import CommandClient, keep_command_link
from .context import EntryContext
from .follower import (
    Follower,
    announce,
    control_links,
    first_sync,
    follow,
    send_to_controls,
    serve_neighbour,
)
from .membership_driver import build_membership, run_membership
from .stopping import begin_stop, end_requests
from .watching import probe_suspects, watch_upstreams

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ...routing.chain import EngineSelector
    from ...settings import ControlPeer, EntryPeer, EntrySettings

logger = logging.getLogger(__name__)

STOP_POLL_INTERVAL_SECONDS: Final = 0.05


def build_context(settings: EntrySettings, background: TaskGroup) -> EntryContext:
    """Build the state of an entry process.

    Args:
        settings: Its settings.
        background: Tasks that outlive the request that started them.

    Returns:
        The state, without a configuration.
    """
    rng = random.Random()
    client = upstream_client(settings.box.source_address)
    admission = Admission(
        in_flight_limit=settings.entry.in_flight_limit,
        queue_limit=settings.entry.queue_limit,
        boxes=settings.entry.entry_boxes or max(1, len(settings.entries)),
    )
    return EntryContext(
        settings=settings,
        commands=CommandClient(),
        client=client,
        background=background,
        admission=admission,
        bytes_held=build_account(settings.entry.memory_mb),
        select_engine=_engine_selector(settings, rng),
        rng=rng,
    )


def _engine_selector(settings: EntrySettings, rng: random.Random) -> EngineSelector:
    match settings.entry.route_choice:
        case "better-of-two":
            return better_of_two(rng)
        case "least-loaded":
            return least_loaded()
        case "round-robin":
            return round_robin()


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry process until a stop signal.

    Args:
        settings: Its settings.
    """
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        context = build_context(settings, tasks)
        tasks.start_soon(on_stop_signal, lambda: _stop(context, stop), tasks.cancel_scope)
        await supervise(_children(context, stop), states=context.children)
    await context.client.aclose()
    logger.info("entry stopped")


def _children(context: EntryContext, stop: anyio.Event) -> list[Child]:
    settings = context.settings
    identity = LinkIdentity(
        cluster=settings.cluster.name,
        role=PeerRole.ENTRY,
        box=settings.box.name,
        failure_domain=settings.box.failure_domain,
        instance=context.instance,
        secret=settings.cluster.secret,
        source_address=settings.box.source_address,
    )
    follower = Follower()
    context.send_to_controls = lambda message: send_to_controls(follower, message)
    limiter = context.rate_limiter = RateLimiter(
        table=context.upstreams.limits,
        attach=lambda name, limit: set_limit(context.upstreams, name, limit),
        control_links=lambda: control_links(follower),
    )
    membership = build_membership(context)
    own_domain = settings.box.failure_domain
    neighbours = [
        peer
        for peer in settings.entries
        if peer.name != settings.box.name and peer.failure_domain in (None, own_domain)
    ]
    sources = len(settings.controls) + len(neighbours)
    app = build_caller_app(context)

    def follow_child(peer: ControlPeer | EntryPeer, *, control: bool) -> Child:
        return Child(
            name=f"follow {peer.name}",
            run=lambda: follow(
                context, follower, peer.name, peer.link_address, identity, control=control
            ),
            restart=Restart.ALWAYS,
        )

    def command_child(peer: ControlPeer) -> Child:
        return Child(
            name=f"commands to {peer.name}",
            run=lambda: keep_command_link(context.commands, peer.name, peer.link_address, identity),
            restart=Restart.ALWAYS,
        )

    async def serve_link(link: Link) -> None:
        await serve_neighbour(context, link)

    return [
        Child(
            name="callers",
            run=lambda: serve_http(
                app,
                settings.entry.caller_address,
                stop,
                grace_seconds=settings.entry.stop_limit_seconds,
            ),
        ),
        Child(
            name="links",
            run=lambda: serve_links(settings.entry.link_address, identity, serve_link),
            restart=Restart.ALWAYS,
        ),
        log_child(),
        Child(name="first sync", run=lambda: first_sync(context, follower, sources)),
        Child(name="announce", run=lambda: announce(context, follower), restart=Restart.ALWAYS),
        Child(name="box list", run=lambda: _poll_box_list(context)),
        Child(
            name="membership",
            run=lambda: run_membership(context, membership),
            restart=Restart.ALWAYS,
        ),
        Child(
            name="watching",
            run=lambda: watch_upstreams(context, membership),
            restart=Restart.ALWAYS,
        ),
        Child(name="limits", run=lambda: run_rate_limiter(limiter), restart=Restart.ALWAYS),
        Child(name="probing", run=lambda: probe_suspects(context), restart=Restart.ALWAYS),
        *(follow_child(peer, control=True) for peer in settings.controls),
        *(follow_child(peer, control=False) for peer in neighbours),
        *(command_child(peer) for peer in settings.controls),
    ]


async def _poll_box_list(context: EntryContext) -> None:
    platform = context.settings.platform
    if platform.box_list_url is None:
        return
    while True:
        box_list = await read_box_list(context.client, platform.box_list_url)
        if box_list is not None:
            apply_draining_list(context.upstreams, set(box_list.leaving))
        await anyio.sleep(platform.poll_seconds * random.uniform(0.8, 1.2))


async def _stop(context: EntryContext, stop: anyio.Event) -> None:
    """Stop after all requests are answered: fail readiness, keep serving, stop listening, drain.

    Requests that do not complete in time are ended with an answer.
    """
    window = begin_stop(context)
    logger.info("planned stop", extra={"in_progress": context.in_progress})
    await anyio.sleep(context.settings.entry.stop_notice_seconds)
    stop.set()
    with anyio.move_on_after(max(0.0, window.ends_at - now())) as scope:
        while context.in_progress:
            await anyio.sleep(STOP_POLL_INTERVAL_SECONDS)
    if scope.cancelled_caught:
        in_progress = context.in_progress
        end_requests(context)
        with anyio.move_on_after(max(0.0, window.exits_at - now())):
            while context.in_progress:
                await anyio.sleep(STOP_POLL_INTERVAL_SECONDS)
        logger.warning(
            "stopped with requests in progress",
            extra={"in_progress": in_progress, "unanswered": context.in_progress},
        )
    # The HTTP server may still be writing the last answers.
    await anyio.sleep(STOP_POLL_INTERVAL_SECONDS)
