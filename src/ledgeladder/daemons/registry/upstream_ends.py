"""Decides whether instances of registered upstreams have exited."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...coordination.loss_evidence import is_presumed_lost
from ...coordination.registrations import superseded_instances
from ...links import post_to_all
from ..content_judge import QuarantineController
from ..peers import part_links
from .state import controls_last_seen

if TYPE_CHECKING:
    from .state import RegistryState


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
