"""Passes on reports of engines that refuse requests for lack of room."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...coordination.full_notices import entry_receivers, relay_notices
from ...links import post_to_all
from ...links.messages import FullNotice

if TYPE_CHECKING:
    from ...links import Link
    from ...links.messages import FullReport
    from .state import RegistryState


def record_entry_reader(state: RegistryState, link: Link) -> None:
    """Record that the entry box at the other end of a link knows the notices."""
    state.notices.entry_readers.add(id(link))


def forget_link(state: RegistryState, link: Link) -> None:
    """Forget what the box at the other end of a link knows, as the link has closed."""
    state.notices.entry_readers.discard(id(link))


def handle_full_report(state: RegistryState, link: Link, report: FullReport) -> None:
    """Announce engines that an entry box found full to control boxes and entry boxes."""
    record_entry_reader(state, link)
    fan_out = relay_notices(
        state.notices, report.instances, anyio.current_time(), from_control=False
    )
    if fan_out.to_controls:
        peers = state.peers
        readers = [item for address, item in peers.links.items() if address in peers.demand_readers]
        post_to_all(readers, FullNotice(instances=fan_out.to_controls))
    _notify_entries(state, fan_out.to_entries, sender=id(link))


def handle_full_notice(state: RegistryState, notice: FullNotice) -> None:
    """Announce engines that another control box announced, to entry boxes only."""
    fan_out = relay_notices(
        state.notices, notice.instances, anyio.current_time(), from_control=True
    )
    _notify_entries(state, fan_out.to_entries)


def _notify_entries(
    state: RegistryState, instances: tuple[str, ...], *, sender: int | None = None
) -> None:
    if not instances:
        return
    receivers = entry_receivers(state.notices, state.loads, sender=sender)
    links = [state.entry_links[item] for item in receivers if item in state.entry_links]
    post_to_all(links, FullNotice(instances=instances))
