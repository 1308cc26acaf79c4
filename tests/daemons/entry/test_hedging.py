"""Branches of a generation that run at the same time."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.entry import generation
from ledgeladder.daemons.entry.attempt import AttemptOutcome, AttemptResult
from ledgeladder.daemons.entry.branches import Branch, GenerationRun, Progress
from ledgeladder.model import Execution, LayerSpan, ProblemError, Route, Stage
from ledgeladder.routing.attempt_race import record_overdue, record_progress
from ledgeladder.routing.session import Session

COMPLETE = AttemptOutcome(result=AttemptResult.COMPLETE)
LOST = AttemptOutcome(result=AttemptResult.LOST)

Attempt = Callable[[GenerationRun, Branch], Awaitable[AttemptOutcome]]


def route(name: str) -> Route:
    stage = Stage(upstream=name, address=f"{name}:1", span=LayerSpan(first=0, end=1))
    return Route(stages=(stage,))


class Bed:
    """Runs a generation whose first attempt is overdue at once and whose hedge is another one.

    Attributes:
        cancelled: Engines on which a session was cancelled, with its id.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.cancelled: list[tuple[str, str]] = []
        self.session = Session(session_id="s", layers=1, max_tokens=2, tokens=[7], text=["a"])

        async def choose_answering_route(*_args: object) -> Route:
            return route("other")

        async def no_route(*_args: object) -> Route:
            raise generation._request_failed(
                self.session, generation.ResultCode.UPSTREAM_LOST, "no route"
            )

        async def do_nothing(*_args: object) -> None:
            return None

        def run_in_background(_context: Any, _work: Any, _client: Any, address: str, cancel: Any):
            self.cancelled.append((address, cancel.session))

        monkeypatch.setattr(generation, "_choose_first_route", lambda *_args: route("first"))
        monkeypatch.setattr(generation, "_choose_answering_route", choose_answering_route)
        monkeypatch.setattr(generation, "_choose_next_route", no_route)
        monkeypatch.setattr(generation, "_record_crashes", do_nothing)
        monkeypatch.setattr(generation, "_record_failures", lambda *_args: None)
        monkeypatch.setattr(generation, "may_retry", lambda *_args: True)
        monkeypatch.setattr(generation, "record_answered", lambda *_args: None)
        monkeypatch.setattr(generation, "run_in_background", run_in_background)
        self.monkeypatch = monkeypatch

    def run(self, first: Attempt, hedge: Attempt) -> Session:
        async def run_attempt(_context: Any, run: GenerationRun, branch: Branch) -> AttemptOutcome:
            if branch.session is not self.session:
                return await hedge(run, branch)
            record_overdue(branch, "silent")
            await run.begin_hedge(branch)
            return await first(run, branch)

        self.monkeypatch.setattr(generation, "run_attempt", run_attempt)
        context: Any = SimpleNamespace(
            budget=None,
            client=None,
            rng=random.Random(1),
            metrics=SimpleNamespace(events=Counter()),
            configuration=SimpleNamespace(version=1),
        )
        request: Any = SimpleNamespace(fingerprint=b"")

        async def emit(_texts: list[str]) -> None:
            return None

        async def main() -> Session:
            with anyio.fail_after(5):
                return await generation._run_attempts(
                    context, request, self.session, Progress(), emit
                )

        return anyio.run(main)


async def wait_forever(_run: GenerationRun, _branch: Branch) -> AttemptOutcome:
    await anyio.sleep_forever()
    raise AssertionError


async def complete(run: GenerationRun, branch: Branch) -> AttemptOutcome:
    assert record_progress(run.race, branch)
    return COMPLETE


async def lose(_run: GenerationRun, _branch: Branch) -> AttemptOutcome:
    return LOST


async def complete_later(run: GenerationRun, branch: Branch) -> AttemptOutcome:
    await anyio.sleep(0.01)
    return await complete(run, branch)


def test_hedge_that_makes_progress_stops_the_overdue_branch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: the overdue branch goes on after another one has continued the answer."""
    bed = Bed(monkeypatch)
    answered = bed.run(wait_forever, complete)
    assert answered is not bed.session
    assert (answered.tokens, answered.text, answered.attempt) == ([7], ["a"], 2)
    assert ("first:1", "s") in bed.cancelled


def test_overdue_branch_that_makes_progress_stops_the_hedge(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a branch that answers again is given up for one that has nothing yet."""
    bed = Bed(monkeypatch)
    assert bed.run(complete_later, wait_forever) is bed.session
    assert [address for address, _session in bed.cancelled].count("other:1") == 1


def test_hedge_that_was_stopped_before_it_began_sends_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a hedge is sent although the overdue branch made progress before."""

    async def never(_run: GenerationRun, _branch: Branch) -> AttemptOutcome:
        raise AssertionError("sent")

    bed = Bed(monkeypatch)
    assert bed.run(complete, never) is bed.session


@pytest.mark.parametrize("hedge", [complete_later, complete])
def test_loss_of_a_branch_ends_no_other(monkeypatch: pytest.MonkeyPatch, hedge: Attempt) -> None:
    """Failure: the error of one branch is the caller's although another has the answer."""
    bed = Bed(monkeypatch)
    assert bed.run(lose, hedge).attempt == 2
    bed = Bed(monkeypatch)
    assert bed.run(complete_later, lose) is bed.session


def test_loss_of_all_branches_is_no_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: a request that an overdue branch may have run counts as not run."""
    bed = Bed(monkeypatch)
    with pytest.raises(ProblemError) as raised:
        bed.run(lose, lose)
    assert raised.value.problem.known_execution is Execution.RAN
