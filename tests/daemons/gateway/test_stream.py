"""Losses that are found while events are being passed on."""

from __future__ import annotations

import anyio

from ledgeladder.daemons.gateway.stream import StreamSession, _told_of_losses
from ledgeladder.model.registration import Registration
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.forwarding_table import ForwardedUpstream, note_lost
from ledgeladder.routing.paths import ChosenPath


def engine() -> ForwardedUpstream:
    return ForwardedUpstream(registration=Registration(instance="i-1", sequence=1), heard_at=0.0)


def interrupted(*, emitting: bool) -> tuple[bool, StreamSession]:
    """Report an engine dead in the middle of a run; tells whether the run went on."""
    session = StreamSession(order=EventOrder(last_id=None), tokens=10, emitting=emitting)
    lost = engine()
    path = ChosenPath(parts=(), engines=(lost,), cost=1.0)
    went_on = False

    async def run() -> None:
        nonlocal went_on
        with anyio.CancelScope() as scope, _told_of_losses(path, session, scope):
            note_lost(lost, 1.0)
            await anyio.sleep(0)
            went_on = True

    anyio.run(run)
    assert not lost.on_lost
    return went_on, session


def test_loss_between_events_ends_the_run_at_once() -> None:
    went_on, session = interrupted(emitting=False)
    assert not went_on
    assert session.dead == {"i-1"}


def test_loss_during_a_write_does_not_cut_the_write() -> None:
    """Events that count as passed on must reach the caller: the next run starts after them."""
    went_on, session = interrupted(emitting=True)
    assert went_on
    assert session.interrupted
    assert session.dead == {"i-1"}
