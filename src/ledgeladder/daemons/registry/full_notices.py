"""Passes on reports of engines that refuse requests for lack of room."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...coordination.full_notices import relay_notices
from ...links import post_to_all
from ...links.messages import FullNotice
from ..peers import demand_links

if TYPE_CHECKING:
    from ...links import Link
    from ...links.messages import FullReport
    from .state import RegistryState


def handle_full_report(state: RegistryState, link: Link, report: FullReport) -> None:
    """Announce engines that an entry box found full to control boxes and entry boxes."""
    fan_out = relay_notices(
        state.notices, report.instances, anyio.current_time(), from_control=False
    )
    if fan_out.to_controls:
        post_to_all(demand_links(state.peers), FullNotice(instances=fan_out.to_controls))
    _notify_entries(state, fan_out.to_entries, sender=link)


def handle_full_notice(state: RegistryState, notice: FullNotice) -> None:
    """Announce engines that another control box announced, to entry boxes only."""
    fan_out = relay_notices(
        state.notices, notice.instances, anyio.current_time(), from_control=True
    )
    _notify_entries(state, fan_out.to_entries)


def _notify_entries(
    state: RegistryState, instances: tuple[str, ...], *, sender: Link | None = None
) -> None:
    """Announce engines to the entry boxes that report their demand here, except the sender.

    The demand report says that a box knows notices. Each box sends it to one control box, so it
    gets a notice once.
    """
    if instances:
        links = [item.link for item in state.demands.values() if item.link is not sender]
        post_to_all(links, FullNotice(instances=instances))
