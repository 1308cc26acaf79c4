"""Holds the acknowledgement of an upstream's departure until other control boxes hold it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.hold_receipts import count_holders
from ...storage import box_of
from .telling import send_pending_updates

if TYPE_CHECKING:
    from ...model.registration import Registration
    from .state import RegistryState

HOLD_TIMEOUT_SECONDS: Final = 0.6
"""How long the acknowledgement of a departure waits. Upstreams ask another box after 1 s, and need
that box's answer before they stop."""

FLUSH_POLL_SECONDS: Final = 0.01
"""Interval at which a planned stop checks whether its last registrations were written."""


async def wait_until_held(state: RegistryState, departure: Registration) -> bool:
    """Wait until enough other control boxes hold the departure of an upstream.

    Args:
        state: State of the process.
        departure: What the upstream reported. One that the table did not accept is not waited for.

    Returns:
        False if too few boxes confirmed it in time. It is applied here and sent on all the same.
    """
    instance, receipts = departure.instance, state.receipts
    if instance not in receipts.departures:
        return True
    needed = _holders_needed(state)
    state.waiting_departures += 1
    try:
        with anyio.move_on_after(HOLD_TIMEOUT_SECONDS):
            # With fewer links the departure cannot be confirmed in time.
            while count_holders(receipts, instance) < needed <= len(state.peers.links):
                if state.receipt_arrived.is_set():
                    state.receipt_arrived = anyio.Event()
                await state.receipt_arrived.wait()
    finally:
        state.waiting_departures -= 1
    return count_holders(receipts, instance) >= needed


def _holders_needed(state: RegistryState) -> int:
    """Return how many other boxes must hold a departure: as many as may be lost at once.

    A box that is the only one of its cluster needs none.
    """
    members = {box_of(member) for member in state.node.replica.log.members.all_ids}
    others = (members | set(state.peers.known)) - {state.peers.own_address}
    return min(state.settings.cluster.tolerated_losses, len(others))


async def flush_registrations(state: RegistryState) -> None:
    """Send waiting registrations before a planned stop, and let departures be acknowledged."""
    send_pending_updates(state, anyio.current_time())
    with anyio.move_on_after(HOLD_TIMEOUT_SECONDS):
        while state.waiting_departures or any(
            link.outbox for link in (*state.peers.links.values(), *state.entry_links.values())
        ):
            await anyio.sleep(FLUSH_POLL_SECONDS)
