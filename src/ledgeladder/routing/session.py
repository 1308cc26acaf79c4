"""State machine of one request that validates every token frame.

A token is accepted only if it has the next position of the current attempt and its receipt covers
every layer once, in order, on the stages of the route. Other frames are counted and dropped, so a
late, duplicate, reordered or foreign frame never reaches the caller.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Annotated

import msgspec

from ..model import LayerSpan, Route, covers_once


class ReceiptStage(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a receipt: an upstream and the span of layers that it ran."""

    upstream: str
    first: int
    end: int


class TokenFrame(msgspec.Struct, frozen=True, kw_only=True, tag="token", tag_field="type"):
    """One token as reported by the head of a route."""

    session: str
    attempt: int
    position: Annotated[int, msgspec.Meta(ge=0)]
    token: int
    text: str
    receipt: tuple[ReceiptStage, ...]
    last: bool = False
    """True if this is the last token of the model's answer."""


class Verdict(StrEnum):
    """Result of validating a frame."""

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
    """Random unique id."""

    layers: int
    """Number of layers of the model."""

    max_tokens: int
    """Maximum number of tokens in the answer."""

    attempt: int = 0
    """Number of the current attempt; raising it fences off earlier attempts at every stage."""

    route: Route | None = None
    """Route of the current attempt."""

    tokens: list[int] = msgspec.field(default_factory=list)
    """Accepted tokens, which a new attempt continues from."""

    text: list[str] = msgspec.field(default_factory=list)
    """Texts of the accepted tokens."""

    ended: bool = False
    """True once the answer is complete or has `max_tokens`."""

    finish_reason: str = ""
    """`stop` or `length` once ended; empty before."""

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
    """Validate one frame and append its token if it is the next one.

    Args:
        session: The session.
        frame: The frame.

    Returns:
        The verdict; for any but `ACCEPTED` only the counter of dropped frames changes.
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
