"""Late, duplicate, reordered or foreign frames never reach the caller."""

from __future__ import annotations

import random

import pytest

from ledgeladder.model import LayerSpan, Route, Stage
from ledgeladder.routing import session as session_module
from ledgeladder.routing.session import (
    ReceiptStage,
    Session,
    TokenFrame,
    Verdict,
    accept_token,
    begin_attempt,
)

LAYERS = 8


def route(*spans: tuple[str, int, int]) -> Route:
    return Route(
        stages=tuple(
            Stage(upstream=name, address="x", span=LayerSpan(first=first, end=end))
            for name, first, end in spans
        )
    )


GOOD = route(("a", 0, 4), ("b", 4, 8))


def frame(session_state: Session, at: int, **changes: object) -> TokenFrame:
    assert session_state.route is not None
    receipt = tuple(
        ReceiptStage(stage.upstream, stage.span.first, stage.span.end)
        for stage in session_state.route.stages
    )
    fields: dict[str, object] = {
        "session": session_state.session_id,
        "attempt": session_state.attempt,
        "position": at,
        "token": at,
        "text": f"{at} ",
        "receipt": receipt,
    }
    return TokenFrame(**(fields | changes))  # type: ignore[arg-type]


def started() -> Session:
    session = Session(session_id="s", layers=LAYERS, max_tokens=30)
    begin_attempt(session, GOOD)
    return session


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({"session": "other"}, Verdict.FOREIGN_SESSION),
        ({"attempt": 0}, Verdict.OLD_ATTEMPT),
        ({"attempt": 2}, Verdict.OLD_ATTEMPT),
        ({"position": 0}, Verdict.REPEATED_POSITION),
        ({"position": 2}, Verdict.SKIPPED_POSITION),
        ({"receipt": ()}, Verdict.BAD_RECEIPT),
        ({"receipt": (ReceiptStage("a", 0, 4),)}, Verdict.BAD_RECEIPT),
        (
            {"receipt": (ReceiptStage("a", 0, 4), ReceiptStage("b", 3, 8))},
            Verdict.BAD_RECEIPT,
        ),
        (
            {"receipt": (ReceiptStage("b", 4, 8), ReceiptStage("a", 0, 4))},
            Verdict.BAD_RECEIPT,
        ),
        (
            {"receipt": (ReceiptStage("a", 0, 4), ReceiptStage("x", 4, 8))},
            Verdict.BAD_RECEIPT,
        ),
    ],
)
def test_bad_frames_are_dropped_and_counted(changes: dict[str, object], verdict: Verdict) -> None:
    session = started()
    assert accept_token(session, frame(session, 0)) is Verdict.ACCEPTED
    assert accept_token(session, frame(session, 1, **changes)) is verdict
    assert session.tokens == [0]
    assert session.dropped[verdict] == 1


def deliver_shuffled(seed: int) -> list[int]:
    """Deliver frames of several attempts in random order, with duplicates."""
    rng = random.Random(seed)
    session = started()
    frames: list[TokenFrame] = []
    while not session.ended:
        if rng.random() < 0.1:
            names = rng.sample("abcdef", 2)
            begin_attempt(session, route((names[0], 0, 4), (names[1], 4, 8)))
        position = len(session.tokens) + rng.choice([0, 0, 0, 1, -1])
        frames.append(frame(session, max(0, position)))
        for _ in range(rng.randrange(3)):
            chosen = rng.choice(frames)
            if rng.random() < 0.5:
                frames.remove(chosen)
            accept_token(session, chosen)
            frames = frames or [frame(session, len(session.tokens))]
    return session.tokens


def test_any_order_of_frames_gives_each_position_once() -> None:
    for seed in range(500):
        assert deliver_shuffled(seed) == list(range(30)), seed


def test_shuffled_delivery_detects_missing_validation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_module, "_evaluate", lambda session, frame: Verdict.ACCEPTED)
    assert any(deliver_shuffled(seed) != list(range(30)) for seed in range(20))
