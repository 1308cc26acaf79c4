"""What a registry tells others again and again."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination.loss_evidence import LossEvidence
from ledgeladder.coordination.registrations import RegistrationTable
from ledgeladder.coordination.upstream_order import UpstreamOrder
from ledgeladder.daemons.peers import SILENCE_SECONDS
from ledgeladder.daemons.registry import telling
from ledgeladder.links.frames import LENGTH, decode_payload
from ledgeladder.links.messages import DocumentPush, PeerHint, RegistrationAges

ROUNDS = 20


class Recorder:
    """A link that keeps what is posted on it, with the moment."""

    def __init__(self, clock: list[float]) -> None:
        self.clock = clock
        self.posted: list[tuple[float, Any]] = []

    def post_frame(self, frame: bytes) -> None:
        self.posted.append((self.clock[0], decode_payload(frame[LENGTH.size :])))

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
        order=UpstreamOrder(),
        peers=SimpleNamespace(links={"10.0.0.2": opened}),
        accepted={1: entry},
        accepted_peers={2: accepted},
    )
    hint = PeerHint(addresses=("10.0.0.1", "10.0.0.2"))
    monkeypatch.setattr(telling, "hint_of", lambda _state: hint)
    monkeypatch.setattr(telling, "_known_controls", lambda _state: hint.addresses)
    monkeypatch.setattr(telling, "add_peers", lambda *_: None)
    monkeypatch.setattr(telling.anyio, "current_time", lambda: clock[0])

    async def sleep(seconds: float) -> None:
        clock[0] += seconds
        if clock[0] > ROUNDS * telling.AGES_SECONDS:
            raise TimeoutError

    monkeypatch.setattr(telling.anyio, "sleep", sleep)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await telling.tell_ages(state)

    anyio.run(run)
    end = ROUNDS * telling.AGES_SECONDS
    assert longest_pause(opened.times(RegistrationAges), end) < SILENCE_SECONDS / 2
    assert longest_pause(accepted.times(PeerHint), end) < SILENCE_SECONDS / 2
    assert longest_pause(entry.times(RegistrationAges), end) < SILENCE_SECONDS / 2
    assert len(entry.times(PeerHint)) == 1 + int(
        (end - telling.AGES_SECONDS) / telling.HINT_SECONDS
    )


def test_documents_go_to_the_entry_boxes_that_report_here() -> None:
    """The pattern: documents in quick succession, each to hundreds of boxes with three links."""
    clock = [0.0]
    links = {number: Recorder(clock) for number in (1, 2, 3)}
    published = SimpleNamespace(version=7, body=b"body")
    state: Any = SimpleNamespace(
        node=SimpleNamespace(state=SimpleNamespace(published=published)),
        accepted=dict(links),
        loads={},
    )
    telling.push_document(state)
    assert all(len(link.times(DocumentPush)) == 1 for link in links.values())
    # One of those that report has lost its link since.
    state.loads = {2: None, 9: None}
    telling.push_document(state)
    assert [len(link.times(DocumentPush)) for link in links.values()] == [1, 2, 1]
