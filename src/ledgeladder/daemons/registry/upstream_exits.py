"""Whether runs of upstreams that registered have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...coordination.loss_evidence import is_presumed_lost
from ...coordination.registrations import superseded_instances
from ...links import post_to_all
from ..content_judge import QuarantineController
from .state import controls_last_seen

if TYPE_CHECKING:
    from .state import RegistryState


def build_quarantine_controller(state: RegistryState) -> QuarantineController:
    """Return what judges contents with the links of a registry process."""
    return QuarantineController(
        node=state.node,
        broadcast_to_entries=lambda message: post_to_all(state.entry_links.values(), message),
        broadcast_to_peers=lambda message: post_to_all(state.peers.links.values(), message),
        has_exited=lambda instance: has_exited(state, instance),
    )


def has_exited(state: RegistryState, instance: str) -> bool:
    """Tell whether a run of an upstream has ended for certain.

    It has once a newer run has registered in its place, if its heartbeats stay away, or if several
    entry boxes found it dead since the last one. A box behind a cut that refuses connections says
    so of upstreams that go on sending heartbeats.
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
    # Last, since it looks at every upstream.
    return is_lost or instance in superseded_instances(state.table)
