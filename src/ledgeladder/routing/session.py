"""One request's way through its stages, as a state machine that trusts no frame.

Each token comes with a receipt: the session, the attempt, the position, and the spans of layers
that were run. A token is accepted only if it is the next position of the current attempt and its
receipt covers every layer once, in order, on the stages of the route. Everything else is counted
and dropped, so a late, doubled, reordered or foreign frame never reaches the caller.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Annotated

import msgspec

from ..model import LayerSpan, Route, covers_once


class ReceiptStage(msgspec.Struct, frozen=True, array_like=True):
    """One line of a receipt: which upstream ran which layers."""

    upstream: str
    first: int
    end: int


class TokenFrame(msgspec.Struct, frozen=True, kw_only=True, tag="token", tag_field="type"):
    """One token as the head of a route reports it."""

    session: str
    attempt: int
    position: Annotated[int, msgspec.Meta(ge=0)]
    token: int
    text: str
    receipt: tuple[ReceiptStage, ...]
    last: bool = False
    """True if the model ended its answer with this token."""


class Verdict(StrEnum):
    """What became of a frame."""

    ACCEPTED = "accepted"
    FOREIGN_SESSION = "foreign-session"
    OLD_ATTEMPT = "old-attempt"
    REPEATED_POSITION = "repeated-position"
    SKIPPED_POSITION = "skipped-position"
    BAD_RECEIPT = "bad-receipt"
    AFTER_END = "after-end"


class Session(msgspec.Struct, kw_only=True):
    """State of one request."""

    session_id: str
    """Random id, unique among all requests."""

    layers: int
    """Number of layers of the model."""

    max_tokens: int
    """Most tokens of the answer."""

    attempt: int = 0
    """Number of the current attempt; each raise fences off the earlier ones at every stage."""

    route: Route | None = None
    """Route of the current attempt."""

    tokens: list[int] = msgspec.field(default_factory=list)
    """Accepted tokens, which a new attempt continues from."""

    text: list[str] = msgspec.field(default_factory=list)
    """Texts of the accepted tokens."""

    ended: bool = False
    """True once the model ended or the bound was reached."""

    finish_reason: str = ""
    """`stop` or `length` once ended."""

    dropped: Counter[Verdict] = msgspec.field(default_factory=Counter)
    """Frames that were dropped, by verdict."""


def begin_attempt(session: Session, route: Route) -> int:
    """Start the next attempt on a route.

    Args:
        session: The session.
        route: Its new route.

    Returns:
        The number of the attempt.
    """
    session.attempt += 1
    session.route = route
    return session.attempt


def accept_token(session: Session, frame: TokenFrame) -> Verdict:
    """Judge one frame and take its token in if it is the next one.

    Args:
        session: The session.
        frame: The frame.

    Returns:
        The verdict; anything but ACCEPTED left the session as it was.
    """
    verdict = _evaluate(session, frame)
    if verdict is not Verdict.ACCEPTED:
        session.dropped[verdict] += 1
        return verdict
    session.tokens.append(frame.token)
    session.text.append(frame.text)
    if frame.last or len(session.tokens) >= session.max_tokens:
        session.ended = True
        session.finish_reason = "stop" if frame.last else "length"
    return verdict


def _evaluate(session: Session, frame: TokenFrame) -> Verdict:
    if frame.session != session.session_id:
        return Verdict.FOREIGN_SESSION
    if frame.attempt != session.attempt:
        return Verdict.OLD_ATTEMPT
    if session.ended:
        return Verdict.AFTER_END
    expected = len(session.tokens)
    if frame.position < expected:
        return Verdict.REPEATED_POSITION
    if frame.position > expected:
        return Verdict.SKIPPED_POSITION
    if not _receipt_matches(session, frame):
        return Verdict.BAD_RECEIPT
    return Verdict.ACCEPTED


def _receipt_matches(session: Session, frame: TokenFrame) -> bool:
    if session.route is None or len(frame.receipt) != len(session.route.stages):
        return False
    for line, stage in zip(frame.receipt, session.route.stages, strict=True):
        if line.upstream != stage.upstream:
            return False
        if (line.first, line.end) != (stage.span.first, stage.span.end):
            return False
    spans = [LayerSpan(first=line.first, end=line.end) for line in frame.receipt]
    return covers_once(spans, session.layers)
