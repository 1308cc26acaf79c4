"""What a registry tells others again and again."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from ledgeladder.coordination.loss_evidence import LossEvidence
from ledgeladder.coordination.registrations import RegistrationTable
from ledgeladder.coordination.upstream_order import UpstreamIndex
from ledgeladder.daemons.peers import LINK_INACTIVITY_SECONDS
from ledgeladder.daemons.registry import broadcasts
from ledgeladder.daemons.registry.state import PendingUpdates
from ledgeladder.links.frames import FRAME_LIMIT, FrameBuffer
from ledgeladder.links.messages import (
    ChangedOrder,
    DocumentPush,
    PeerHint,
    RegistrationAges,
    RegistrationNews,
)
from ledgeladder.model.registration import Registration, UpstreamState

ROUNDS = 20


class Recorder:
    """A link that keeps what is posted on it, with the moment."""

    def __init__(self, clock: list[float]) -> None:
        self.clock = clock
        self.posted: list[tuple[float, Any]] = []

    def post_frame(self, frame: bytes) -> None:
        (message,) = FrameBuffer(limit=FRAME_LIMIT).feed(frame)
        self.posted.append((self.clock[0], message))

    def times(self, kind: type) -> list[float]:
        return [at for at, message in self.posted if isinstance(message, kind)]


def longest_pause(times: list[float], end: float) -> float:
    moments = [0.0, *times, end]
    return max(later - earlier for earlier, later in zip(moments, moments[1:], strict=False))


def test_links_between_control_boxes_never_fall_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each side of a link gives it up after a silence, also while there is no news at all."""
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
    monkeypatch.setattr(broadcasts, "build_peer_hint", lambda _state: hint)
    monkeypatch.setattr(broadcasts, "_known_controls", lambda _state: hint.addresses)
    monkeypatch.setattr(broadcasts, "add_peers", lambda *_: None)
    monkeypatch.setattr(broadcasts.anyio, "current_time", lambda: clock[0])

    async def sleep(seconds: float) -> None:
        clock[0] += seconds
        if clock[0] > ROUNDS * broadcasts.AGES_INTERVAL_SECONDS:
            raise TimeoutError

    monkeypatch.setattr(broadcasts.anyio, "sleep", sleep)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await broadcasts.broadcast_ages(state)

    anyio.run(run)
    end = ROUNDS * broadcasts.AGES_INTERVAL_SECONDS
    assert longest_pause(opened.times(RegistrationAges), end) < LINK_INACTIVITY_SECONDS / 2
    assert longest_pause(accepted.times(PeerHint), end) < LINK_INACTIVITY_SECONDS / 2
    assert longest_pause(entry.times(RegistrationAges), end) < LINK_INACTIVITY_SECONDS / 2
    assert len(entry.times(PeerHint)) == 1 + int(
        (end - broadcasts.AGES_INTERVAL_SECONDS) / broadcasts.HINT_INTERVAL_SECONDS
    )


def test_documents_go_to_the_entry_boxes_that_report_here() -> None:
    """The pattern: documents in quick succession, each to hundreds of boxes with three links."""
    clock = [0.0]
    links = {number: Recorder(clock) for number in (1, 2, 3)}
    published = SimpleNamespace(version=7, body=b"body")
    state: Any = SimpleNamespace(
        node=SimpleNamespace(state=SimpleNamespace(published=published)),
        entry_links=dict(links),
        loads={},
    )
    broadcasts.push_document(state)
    assert all(len(link.times(DocumentPush)) == 1 for link in links.values())
    # One of those that report has lost its link since.
    state.loads = {2: None, 9: None}
    broadcasts.push_document(state)
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
"""Upstreams that register within `REGISTER_SECONDS`, as after a start of 300 boxes."""

REGISTER_SECONDS = 2.5
LINKS = 180
"""Links of entry boxes to one of five control boxes: three of each of 300."""


def test_upstreams_that_register_together_are_told_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The load of a start: each registration sent singly was 3,000 frames to each of 180 links."""
    clock = [0.0]
    entry, peer = Recorder(clock), Recorder(clock)
    state: Any = SimpleNamespace(
        pending_updates=PendingUpdates(),
        upstream_index=UpstreamIndex(),
        table=RegistrationTable(),
        peers=SimpleNamespace(links={"10.0.0.2": peer}),
        entry_links={1: entry},
    )
    monkeypatch.setattr(broadcasts.anyio, "current_time", lambda: clock[0])

    async def sleep(seconds: float) -> None:
        until = clock[0] + seconds
        while clock[0] < until:
            await anyio.lowlevel.checkpoint()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(broadcasts.broadcast_updates, state)
            await anyio.lowlevel.checkpoint()
            for number in range(UPSTREAMS):
                clock[0] = max(clock[0], number * REGISTER_SECONDS / UPSTREAMS)
                state.table.known[registration(number).instance] = None
                broadcasts.broadcast_registration(
                    state, registration(number), to_peers=number % 5 == 0
                )
                await anyio.lowlevel.checkpoint()
                if number % 300 == 0:
                    broadcasts._update_index(state)
            clock[0] += broadcasts.MIN_UPDATE_INTERVAL_SECONDS
            for _ in range(5):
                await anyio.lowlevel.checkpoint()
            broadcasts._update_index(state)
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(broadcasts.anyio, "sleep", sleep)
    anyio.run(run)
    frames = [message for _at, message in entry.posted if isinstance(message, RegistrationNews)]
    told = [item.registration.instance for frame in frames for item in frame.told]
    assert told == [registration(number).instance for number in range(UPSTREAMS)]
    assert len(frames) <= 2 * REGISTER_SECONDS / broadcasts.MIN_UPDATE_INTERVAL_SECONDS
    to_peer = [message for _at, message in peer.posted if isinstance(message, RegistrationNews)]
    assert sum(len(frame.told) for frame in to_peer) == UPSTREAMS / 5
    # Whole orders would be 11 times the half of all ids, 200 KB a link.
    changes = [message for _at, message in entry.posted if isinstance(message, ChangedOrder)]
    assert sum(len(message.change.added) for message in changes) == UPSTREAMS


def test_first_news_goes_at_once_and_of_one_run_the_newest_counts() -> None:
    news = PendingUpdates()
    news.add(registration(1), 5.0, to_peers=True)
    news.add(registration(2), 5.1, to_peers=False)
    gone = Registration(instance=registration(1).instance, sequence=0, state=UpstreamState.GONE)
    news.add(gone, 5.2, to_peers=True)
    told, to_peers = news.pop_all(5.3)
    assert [item.registration for item in told] == [gone, registration(2)]
    assert [item.registration for item in to_peers] == [gone]
    assert told[1].age == pytest.approx(0.2)
    assert news.pop_all(5.4) == ((), ())
