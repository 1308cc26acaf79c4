"""Decides whether instances of registered upstreams have exited, and checks suspected engines."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.loss_evidence import (
    CHECK_TIMEOUT_SECONDS,
    begin_check,
    end_check,
    is_check_due,
    is_presumed_lost,
)
from ...coordination.registrations import superseded_instances
from ...http1 import ConnectError, connect
from ...links import post_to_all
from ..content_judge import QuarantineController
from ..peers import part_links
from .order_sending import may_order
from .state import controls_last_seen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .state import RegistryState

logger = logging.getLogger(__name__)

MAX_CONCURRENT_CHECKS: Final = 64
"""Maximum number of connections for checks at once."""


def build_quarantine_controller(state: RegistryState) -> QuarantineController:
    """Return a quarantine controller that uses the links of this process."""
    return QuarantineController(
        node=state.node,
        broadcast_to_entries=lambda message: post_to_all(state.entry_links.values(), message),
        broadcast_to_peers=lambda message: post_to_all(state.peers.links.values(), message),
        broadcast_parts_to_peers=lambda message: post_to_all(part_links(state.peers), message),
        has_exited=lambda instance: has_exited(state, instance),
    )


def has_exited(state: RegistryState, instance: str) -> bool:
    """Return whether the exit of an upstream instance is confirmed.

    It is confirmed if a newer instance has registered in its place, if its heartbeats are missing,
    or if several entry boxes found it unreachable since the last heartbeat. A single entry box does
    not suffice: a partition may refuse its connections while the upstream still sends heartbeats.
    """
    known = state.table.known.get(instance)
    if known is None:
        return True
    is_lost = is_presumed_lost(
        state.losses,
        instance,
        known.last_seen_at,
        anyio.current_time(),
        state.table.heartbeat,
        seen_until=controls_last_seen(state),
    )
    # Evaluated last because it iterates over all upstreams.
    return is_lost or instance in superseded_instances(state.table)


def begin_due_checks(state: RegistryState, instances: Iterable[str]) -> None:
    """Begin the checks that are due of some engines if this box leads."""
    if not may_order(state):
        return
    now, heartbeat = anyio.current_time(), state.table.heartbeat
    for instance in instances:
        known = state.table.known.get(instance)
        if known is None or not known.registration.card:
            continue
        if is_check_due(state.losses, instance, known.last_seen_at, now, heartbeat):
            begin_check(state.losses, instance, now)
            state.begun_checks.append(instance)
    if state.begun_checks:
        state.checks_begun.set()


async def run_liveness_checks(state: RegistryState) -> None:
    """Carry out the checks that were begun; runs until cancelled."""
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CHECKS)
    async with anyio.create_task_group() as tasks:
        while True:
            await state.checks_begun.wait()
            state.checks_begun = anyio.Event()
            begun, state.begun_checks = state.begun_checks, []
            for instance in begun:
                tasks.start_soon(_check, state, limiter, instance)


async def _check(state: RegistryState, limiter: anyio.CapacityLimiter, instance: str) -> None:
    """Connect to an engine, and record whether it accepted."""
    accepted = False
    try:
        async with limiter:
            accepted = await _accepts(state, instance)
    except Exception:
        # Raised further, it would cancel the checks of all other engines.
        logger.exception("check failed", extra={"upstream": instance})
    finally:
        end_check(state.losses, instance, accepted=accepted)


async def _accepts(state: RegistryState, instance: str) -> bool:
    known = state.table.known.get(instance)
    if known is None:
        return False
    source = state.settings.box.address
    try:
        connection = await connect(
            known.registration.address, source=source, seconds=CHECK_TIMEOUT_SECONDS
        )
    except ConnectError as error:
        _log_check(state, instance, str(error))
        return False
    await connection.close()
    _log_check(state, instance, "accepted")
    return True


def _log_check(state: RegistryState, instance: str, outcome: str) -> None:
    known = state.table.known.get(instance)
    if known is None:
        return
    logger.info(
        "suspected engine checked",
        extra={
            "upstream": instance,
            "outcome": outcome,
            "heard_before": round(anyio.current_time() - known.last_seen_at, 3),
            "reports": len(state.losses.reports.get(instance, ())),
        },
    )
