"""State of a generation over its branches: the attempts that may continue its answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec

from ...routing.attempt_race import AttemptRace, RunningAttempt
from ...routing.pace import Pace
from ...routing.session import Session

if TYPE_CHECKING:
    from ...model import Pipeline, ProblemError, Route
    from ...routing.upstream_table import UpstreamView

Emit = Callable[[list[str]], Awaitable[None]]
"""Forwards texts of accepted tokens to the caller."""


class Generation(msgspec.Struct, frozen=True, kw_only=True):
    """A generation request that passed all checks."""

    pipeline: Pipeline
    """Pipeline that runs it."""

    prompt: str
    """Prompt."""

    max_tokens: int
    """Maximum number of tokens of the answer."""

    rank: int
    """Rank of its priority."""

    deadline: float
    """Deadline of the answer, on the monotonic clock."""

    arrived_at: float
    """Time of arrival, on the monotonic clock."""

    allowed: Callable[[UpstreamView], bool]
    """Returns whether its policy allows an upstream."""

    fingerprint: bytes = b""
    """Fingerprint of its content."""


class Progress(msgspec.Struct, kw_only=True):
    """Timing of a request over all its attempts."""

    pace: Pace = msgspec.field(default_factory=Pace)
    """Gaps between tokens."""

    last_token_at: float = 0.0
    """Time at which the latest token was accepted, or at which the request arrived."""

    recovering: bool = False
    """True from the loss or silence of a stage until the next token."""

    session: Session | None = None
    """Session that accepted the latest token; None before the first."""


class Branch(RunningAttempt, kw_only=True, eq=False):
    """An attempt, and the attempts that replace its lost stages.

    Engines keep one state per session and drop that of earlier attempts, so branches that run at
    the same time have sessions of their own.
    """

    path: Route | None = None  # type: ignore[assignment]
    """Not used; the route is that of the session."""

    session: Session
    """Its session, with the tokens of the answer so far."""


class GenerationRun(msgspec.Struct, kw_only=True):
    """One generation over all its branches."""

    request: Generation
    """The request."""

    progress: Progress
    """Its timing."""

    emit: Emit
    """Forwards texts to the caller."""

    begin_hedge: Callable[[Branch], Awaitable[None]]
    """Begins another branch beside an overdue one if that is possible."""

    race: AttemptRace = msgspec.field(default_factory=AttemptRace)
    """Branches that run."""

    recoveries: int = 0
    """Attempts that were begun after the first one."""

    may_have_run: bool = False
    """True once an upstream may have run the request."""

    answered: Session | None = None
    """Session with the complete answer; None until it is complete."""

    problem: ProblemError | None = None
    """Why the newest failed branch failed."""


def fork_session(run: GenerationRun, session: Session) -> Session:
    """Return a copy of a session that engines take for another one.

    Args:
        run: The generation.
        session: The session of an overdue branch.

    Returns:
        The copy. Its id begins with that of the first session.
    """
    root = session.session_id.partition("-")[0]
    return Session(
        session_id=f"{root}-{run.recoveries}",
        layers=session.layers,
        max_tokens=session.max_tokens,
        attempt=max(item.session.attempt for item in _branches(run)),
        tokens=list(session.tokens),
        text=list(session.text),
    )


def _branches(run: GenerationRun) -> list[Branch]:
    return [item for item in run.race.running if isinstance(item, Branch)]
