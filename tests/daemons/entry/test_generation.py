"""What the caller of a generation is told when no retry is left."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.entry import generation
from ledgeladder.daemons.entry.attempt import AttemptOutcome, AttemptResult
from ledgeladder.model import Execution, ProblemError
from ledgeladder.routing.session import Session


@pytest.mark.parametrize(
    ("results", "execution"),
    [
        ((AttemptResult.REFUSED,), Execution.NOT_RUN),
        ((AttemptResult.REFUSED, AttemptResult.REFUSED), Execution.NOT_RUN),
        ((AttemptResult.LOST, AttemptResult.REFUSED), Execution.UNKNOWN),
        ((AttemptResult.REFUSED, AttemptResult.LOST), Execution.UNKNOWN),
    ],
)
def test_refusal_after_a_lost_attempt_is_not_told_as_not_run(
    monkeypatch: pytest.MonkeyPatch, results: tuple[AttemptResult, ...], execution: Execution
) -> None:
    """Failure: the last attempt alone decided whether the request counted as not run."""
    left = list(results)

    async def run_attempt(*_args: object) -> AttemptOutcome:
        return AttemptOutcome(result=left.pop(0))

    async def do_nothing(*_args: object) -> Any:
        return SimpleNamespace(upstreams=frozenset())

    monkeypatch.setattr(generation, "run_attempt", run_attempt)
    monkeypatch.setattr(generation, "_choose_first_route", lambda *_args: None)
    monkeypatch.setattr(generation, "_choose_next_route", do_nothing)
    monkeypatch.setattr(generation, "_record_crashes", do_nothing)
    monkeypatch.setattr(generation, "_refuse_if_backing_off", lambda *_args: None)
    monkeypatch.setattr(generation, "may_retry", lambda *_args: True)
    monkeypatch.setattr(generation, "acquire_retry", lambda _budget: bool(left))
    context: Any = SimpleNamespace(budget=None, metrics=SimpleNamespace(events=Counter()))
    request: Any = SimpleNamespace(fingerprint=b"")
    progress: Any = SimpleNamespace()
    session = Session(session_id="s", layers=1, max_tokens=1)

    async def run() -> None:
        await generation._run_attempts(context, request, session, progress, do_nothing)

    with pytest.raises(ProblemError) as raised:
        anyio.run(run)
    assert raised.value.problem.known_execution is execution
