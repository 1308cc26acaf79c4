"""Broadcasts of a registry: intervals, receivers and batching."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from ledgeladder.coordination.hold_receipts import HoldReceipts
from ledgeladder.coordination.loss_evidence import LossEvidence
from ledgeladder.coordination.registrations import RegistrationTable, apply_registration
from ledgeladder.coordination.upstream_order import UpstreamIndex
from ledgeladder.daemons.peers import LINK_INACTIVITY_SECONDS
from ledgeladder.daemons.registry import telling
from ledgeladder.daemons.registry.state import PendingUpdates
from ledgeladder.links.frames import FRAME_LIMIT_BYTES, FrameBuffer
from ledgeladder.links.messages import (
    DocumentPush,
    IndexChangePush,
    PeerHint,
    RegistrationAges,
    RegistrationUpdate,
)
from ledgeladder.model.registration import Registration, UpstreamState

ROUNDS = 20


class Recorder:
    """A link that records the posted messages with their times."""

    peer_box = "10.0.0.3"

    def __init__(self, clock: list[float]) -> None:
        self.clock = clock
        self.posted: list[tuple[float, Any]] = []

    def post_frame(self, frame: bytes) -> None:
        (message,) = FrameBuffer(limit=FRAME_LIMIT_BYTES).feed(frame)
        self.posted.append((self.clock[0], message))

    def times(self, kind: type) -> list[float]:
        return [at for at, message in self.posted if isinstance(message, kind)]


def longest_pause(times: list[float], end: float) -> float:
    moments = [0.0, *times, end]
    return max(later - earlier for earlier, later in zip(moments, moments[1:], strict=False))


def test_links_between_control_boxes_never_become_inactive(monkeypatch: pytest.MonkeyPatch) -> None:
    """An idle system must still send on each link, or its peer closes it for inactivity."""
    clock = [0.0]
    opened, accepted, entry = (Recorder(clock) for _ in range(3))
    state: Any = SimpleNamespace(
        table=RegistrationTable(),
        losses=LossEvidence(),
        upstream_index=UpstreamIndex(),
        peers=SimpleNamespace(links={"10.0.0.2": opened}),
        entry_links={1: entry},
        accepted_control_links={2: accepted},
        node=SimpleNamespace(replica=SimpleNamespace(is_voter=False)),
        voter_since=None,
    )
    hint = PeerHint(addresses=("10.0.0.1", "10.0.0.2"))
    monkeypatch.setattr(telling, "build_peer_hint", lambda _state: hint)
    monkeypatch.setattr(telling, "_known_controls", lambda _state: hint.addresses)
    monkeypatch.setattr(telling, "add_peers", lambda *_: None)
    monkeypatch.setattr(telling.anyio, "current_time", lambda: clock[0])

    async def sleep(seconds: float) -> None:
        clock[0] += seconds
        if clock[0] > ROUNDS * telling.AGES_INTERVAL_SECONDS:
            raise TimeoutError

    monkeypatch.setattr(telling.anyio, "sleep", sleep)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await telling.broadcast_ages(state)

    anyio.run(run)
    end = ROUNDS * telling.AGES_INTERVAL_SECONDS
    assert longest_pause(opened.times(RegistrationAges), end) < LINK_INACTIVITY_SECONDS / 2
    assert longest_pause(accepted.times(PeerHint), end) < LINK_INACTIVITY_SECONDS / 2
    assert longest_pause(entry.times(RegistrationAges), end) < LINK_INACTIVITY_SECONDS / 2
    assert len(entry.times(PeerHint)) == 1 + int(
        (end - telling.AGES_INTERVAL_SECONDS) / telling.HINT_INTERVAL_SECONDS
    )


def test_documents_are_pushed_to_reporting_entry_boxes() -> None:
    """A document pushed over every link would multiply the traffic between failure domains."""
    clock = [0.0]
    links = {number: Recorder(clock) for number in (1, 2, 3)}
    published = SimpleNamespace(version=7, body=b"body")
    state: Any = SimpleNamespace(
        node=SimpleNamespace(state=SimpleNamespace(published=published)),
        entry_links=dict(links),
        loads={},
    )
    telling.push_document(state)
    assert all(len(link.times(DocumentPush)) == 1 for link in links.values())
    # The link of box 9 has been closed since its report.
    state.loads = {2: None, 9: None}
    telling.push_document(state)
    assert [len(link.times(DocumentPush)) for link in links.values()] == [1, 2, 1]


def registration(number: int, sequence: int = 1) -> Registration:
    return Registration(
        instance=f"i-{number:010x}",
        sequence=sequence,
        pool="engines",
        address=f"10.0.{number >> 8}.{number & 255}:8000",
        failure_domain="a",
        card="l4",
    )


UPSTREAMS = 3000
"""Upstreams that register within `REGISTER_SECONDS`, as when all boxes start together."""

REGISTER_SECONDS = 2.5
LINKS = 180
"""Links of entry boxes to one of five control boxes: three of each of 300."""


def test_concurrent_registrations_are_batched(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One frame per registration and link would overload a control box at a start."""
    clock = [0.0]
    entry, peer = Recorder(clock), Recorder(clock)
    state: Any = SimpleNamespace(
        pending_updates=PendingUpdates(),
        upstream_index=UpstreamIndex(),
        table=RegistrationTable(),
        peers=SimpleNamespace(links={"10.0.0.2": peer}),
        entry_links={1: entry},
        receipts=HoldReceipts(),
    )
    monkeypatch.setattr(telling.anyio, "current_time", lambda: clock[0])

    async def sleep(seconds: float) -> None:
        until = clock[0] + seconds
        while clock[0] < until:
            await anyio.lowlevel.checkpoint()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(telling.broadcast_updates, state)
            await anyio.lowlevel.checkpoint()
            for number in range(UPSTREAMS):
                clock[0] = max(clock[0], number * REGISTER_SECONDS / UPSTREAMS)
                apply_registration(state.table, registration(number), clock[0])
                telling.broadcast_registration(
                    state, registration(number), to_peers=number % 5 == 0
                )
                await anyio.lowlevel.checkpoint()
                if number % 300 == 0:
                    telling._update_index(state)
            clock[0] += telling.MIN_UPDATE_INTERVAL_SECONDS
            for _ in range(5):
                await anyio.lowlevel.checkpoint()
            telling._update_index(state)
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(telling.anyio, "sleep", sleep)
    anyio.run(run)
    frames = [message for _at, message in entry.posted if isinstance(message, RegistrationUpdate)]
    sent = [item.registration.instance for frame in frames for item in frame.reported]
    assert sent == [registration(number).instance for number in range(UPSTREAMS)]
    assert len(frames) <= 2 * REGISTER_SECONDS / telling.MIN_UPDATE_INTERVAL_SECONDS
    to_peer = [message for _at, message in peer.posted if isinstance(message, RegistrationUpdate)]
    assert sum(len(frame.reported) for frame in to_peer) == UPSTREAMS / 5
    # Only the added ids are sent, not the whole index at each change.
    changes = [message for _at, message in entry.posted if isinstance(message, IndexChangePush)]
    assert sum(len(message.change.added) for message in changes) == UPSTREAMS


def test_pending_updates_keep_the_newest_registration_of_each_instance() -> None:
    updates = PendingUpdates()
    updates.add(registration(1), 5.0, to_peers=True)
    updates.add(registration(2), 5.1, to_peers=False)
    exited = Registration(instance=registration(1).instance, sequence=0, state=UpstreamState.EXITED)
    updates.add(exited, 5.2, to_peers=True)
    to_entries, to_peers = updates.pop_all(5.3)
    assert [item.registration for item in to_entries] == [exited, registration(2)]
    assert [item.registration for item in to_peers] == [exited]
    assert to_entries[1].age == pytest.approx(0.2)
    assert updates.pop_all(5.4) == ((), ())
