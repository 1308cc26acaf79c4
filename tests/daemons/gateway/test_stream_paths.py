"""Which streams take paths between failure domains while engines are full or lost."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from ledgeladder.daemons.gateway.stream_paths import choose_attempt_path, choose_hedge_path
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.model.registration import Holding, Registration
from ledgeladder.routing.attempt_race import RunningAttempt
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.forwarding_table import (
    put_registration,
    record_full,
    record_loss,
    record_silence,
)
from ledgeladder.routing.stream_patience import stream_timeouts

from ...routing.sample_site import PROFILE
from .builders import gateway_state

if TYPE_CHECKING:
    from ledgeladder.routing.paths import ChosenPath

POOL = "engines"
HALF = PROFILE.layers // 2


class Site:
    """Two failure domains with one engine for each half of the layers; each is `DOMAIN-FIRST`."""

    def __init__(self) -> None:
        self.state = gateway_state()
        self.now = 0.0
        timeouts = stream_timeouts(
            target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1
        )
        self.session = StreamSession(order=EventOrder(last_id=None), timeouts=timeouts, tokens=20)
        self.permit: Any = SimpleNamespace(
            pool=SimpleNamespace(name=POOL, engine=PROFILE),
            route=SimpleNamespace(target_latency=0.5),
            facts=SimpleNamespace(prompt_tokens=10, answer_tokens=10),
        )

    def register(self) -> None:
        for domain in "ab":
            for first in (0, HALF):
                name = f"{domain}-{first}"
                registration = Registration(
                    instance=name,
                    sequence=1,
                    pool=POOL,
                    address=f"{name}:1",
                    failure_domain=domain,
                    card="fast",
                    holdings=(Holding(first=first, end=first + HALF),),
                )
                put_registration(self.state.table, registration, self.now)

    def choose(self, *, full: tuple[str, ...], lost: tuple[str, ...] = ()) -> ChosenPath | None:
        async def run() -> ChosenPath | None:
            self.start(full, lost)
            return choose_attempt_path(self.state, self.permit, PROFILE, self.session, 10)

        return anyio.run(run)

    def hedge(
        self,
        *,
        full: tuple[str, ...] = (),
        lost: tuple[str, ...] = (),
        silent: tuple[str, ...] = (),
        dead: tuple[str, ...] = (),
    ) -> ChosenPath | None:
        """Return the path of an attempt beside an overdue one over `a-0` and `a-HALF`."""

        async def run() -> ChosenPath | None:
            self.start((), ())
            path = choose_attempt_path(self.state, self.permit, PROFILE, self.session, 10)
            assert path is not None
            assert path.domains == ["a", "a"]
            attempt = RunningAttempt(path=path, started_at=self.now)
            self.session.race.running.append(attempt)
            self.start(full, lost)
            record_silence([self.state.table.upstreams[name] for name in silent], self.now)
            self.session.dead.update(dead)
            return choose_hedge_path(self.state, self.permit, self.session)

        return anyio.run(run)

    def start(self, full: tuple[str, ...], lost: tuple[str, ...]) -> None:
        self.now = anyio.current_time()
        self.register()
        for name in full:
            record_full(self.state.table.upstreams[name], self.now)
        for name in lost:
            record_loss(self.state.table.upstreams[name], self.now)


FULL_HALVES = ("a-0", f"b-{HALF}")


def crosses(path: ChosenPath | None) -> bool:
    return path is not None and len(set(path.domains)) > 1


def test_new_requests_of_contended_pools_are_refused_while_domains_are_only_full() -> None:
    site = Site()
    site.state.contended = frozenset({POOL})
    assert site.choose(full=FULL_HALVES) is None


def test_new_requests_of_contended_pools_cross_once_layers_are_lost() -> None:
    site = Site()
    site.state.contended = frozenset({POOL})
    assert crosses(site.choose(full=(), lost=FULL_HALVES))


@pytest.mark.parametrize("reason", ["begun", "resumed", "not contended"])
def test_other_requests_cross_domains_that_are_full(reason: str) -> None:
    site = Site()
    site.state.contended = frozenset({"others" if reason == "not contended" else POOL})
    site.session.started = reason == "begun"
    site.session.resumed = reason == "resumed"
    assert crosses(site.choose(full=FULL_HALVES))


@pytest.mark.parametrize("is_head_dead", [False, True])
def test_requests_whose_attempt_was_lost_cross_domains_that_are_full(*, is_head_dead: bool) -> None:
    """Failure: an engine is lost before the first event, while the others are full. Such a request
    may have run, so that it can't be refused with a time to return."""
    site = Site()
    site.state.contended = frozenset({POOL})
    site.session.attempts.record_sent()
    if is_head_dead:
        site.session.attempts.record_forgiven()
    assert crosses(site.choose(full=FULL_HALVES))


def test_requests_whose_attempts_were_refused_do_not_cross() -> None:
    site = Site()
    site.state.contended = frozenset({POOL})
    for _ in range(2):
        site.session.attempts.record_sent()
        site.session.attempts.record_refused()
    assert site.choose(full=FULL_HALVES) is None


def test_late_attempts_have_no_other_path_between_domains_that_are_full() -> None:
    assert Site().hedge() is not None
    assert Site().hedge(full=(f"b-{HALF}",)) is None


def test_hedges_use_no_engine_of_the_overdue_path_and_none_that_is_silent() -> None:
    """Failure: all engines are silent for a second, and streams are sent to one after another."""
    path = Site().hedge()
    assert path is not None
    assert path.domains == ["b", "b"]
    assert Site().hedge(silent=("b-0",)) is None


def test_hedges_keep_the_other_engines_of_a_path_with_an_unreachable_one() -> None:
    path = Site().hedge(full=("b-0",), lost=(f"a-{HALF}",), dead=(f"a-{HALF}",))
    assert path is not None
    assert [item.registration.instance for item in path.engines] == ["a-0", f"b-{HALF}"]
