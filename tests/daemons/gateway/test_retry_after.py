"""Retry delays for callers whose request found no path."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.gateway.retry_after import (
    retry_after_full,
    retry_after_no_path,
)
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.model.registration import Holding, Registration
from ledgeladder.routing.forwarding_table import ForwardedUpstream, record_full
from ledgeladder.routing.load_time import load_seconds
from ledgeladder.routing.pace import Pace
from ledgeladder.routing.path_costs import PathRequest
from ledgeladder.routing.paths import NoPathReason, explain_no_path
from ledgeladder.routing.return_times import MIN_RETURN_SECONDS

from ...routing.sample_site import PROFILE
from .builders import engine, gateway_state


def state(stream_seconds: float, layers: int) -> Any:
    holdings = (Holding(first=0, end=layers),)
    engine = SimpleNamespace(registration=SimpleNamespace(holdings=holdings))
    return SimpleNamespace(
        contended=frozenset({"other"}),
        stream_pace=Pace(mean=stream_seconds),
        table=SimpleNamespace(pools={"p": [engine, engine]}),
    )


PERMIT: Any = SimpleNamespace(pool=SimpleNamespace(name="p", engine=PROFILE))
FULL = NoPathReason(engines={"full": 2, "lost": 1}, layers=(0, 8), full_links=())
LOST = NoPathReason(engines={"lost": 2, "usable": 1}, layers=(0, 8), full_links=())


def test_full_engines_have_capacity_after_half_a_stream_duration() -> None:
    assert retry_after_full(state(1.6, 8), PERMIT) == pytest.approx(0.8)
    assert retry_after_no_path(state(1.6, 8), PERMIT, FULL) == pytest.approx(0.8)


def test_missing_layers_are_back_after_the_load_time() -> None:
    assert retry_after_no_path(state(0.5, 8), PERMIT, LOST) == pytest.approx(14.0 * 8 / 80)


def test_delay_has_a_minimum() -> None:
    assert retry_after_full(state(0.0, 8), PERMIT) == MIN_RETURN_SECONDS


def contended_permit(now: float, priority: int, seconds_left: float) -> Any:
    return SimpleNamespace(
        facts=SimpleNamespace(attempt_id="a1"),
        pool=SimpleNamespace(name="p", engine=PROFILE),
        priority=priority,
        deadline=now + seconds_left,
    )


def contended_state() -> GatewayState:
    """Return a box whose streams last 2 s."""
    box = gateway_state()
    box.contended, box.index.ranks = frozenset({"p"}), {"p": (0, 3)}
    box.stream_pace = Pace(mean=2.0)
    return box


def refuse(box: GatewayState, *callers: tuple[int, float]) -> list[float]:
    """Return the delays of callers, given as priority and seconds left."""

    async def run() -> list[float]:
        now = anyio.current_time()
        return [retry_after_full(box, contended_permit(now, *caller)) for caller in callers]

    return anyio.run(run)


def test_callers_of_a_contended_pool_are_told_different_times() -> None:
    box = contended_state()
    seconds = sorted(refuse(box, *[(3, 60.0)] * 8))
    assert all(later - earlier > 0.5 for earlier, later in zip(seconds, seconds[1:], strict=False))
    assert max(refuse(box, *[(0, 60.0)] * 4)) < seconds[-1]
    assert box.metrics.counters["return-promised"] == 12


def test_place_that_is_too_late_for_the_caller_is_told_but_not_taken() -> None:
    box = contended_state()
    assert refuse(box, (0, 0.9))[0] > 0.3
    assert box.metrics.counters["return-too-late"] == 1
    assert box.return_books["p"].places == []


def test_full_engines_of_a_contended_pool_without_a_path() -> None:
    box = contended_state()
    box.table.pools["p"] = [engine()]

    async def run() -> float:
        permit = contended_permit(anyio.current_time(), 0, 60.0)
        return retry_after_no_path(box, permit, FULL)

    assert anyio.run(run) >= MIN_RETURN_SECONDS
    assert len(box.return_books["p"].places) == 1


def retry_after_explained(box: GatewayState, *holders: tuple[str, int, int]) -> float:
    """Return the delay of a caller beside engines that all refused a moment ago.

    Args:
        box: The box.
        holders: Failure domain and range of layers of each engine.
    """

    async def run() -> float:
        now = anyio.current_time()
        engines = box.table.pools["p"] = [
            ForwardedUpstream(
                registration=Registration(
                    instance=f"i-{number}",
                    sequence=1,
                    pool="p",
                    address=f"127.0.0.1:{number}",
                    failure_domain=domain,
                    card="fast",
                    slots=8,
                    holdings=(Holding(first=first, end=end),),
                ),
                last_seen_at=now,
            )
            for number, (domain, first, end) in enumerate(holders)
        ]
        for item in engines:
            record_full(item, now)
        request = PathRequest(
            prompt_tokens=100, answer_tokens=100, failure_domain="a", may_cross=False
        )
        missing = explain_no_path(PROFILE, engines, request, now)
        return retry_after_no_path(box, contended_permit(now, 0, 60.0), missing)

    return anyio.run(run)


def test_domain_that_refused_has_all_layers_and_is_not_waited_for_as_if_it_loaded_them() -> None:
    """Load: the only domain that holds all layers refused, so that no engine of it is asked."""
    box = contended_state()
    half = PROFILE.layers // 2
    retry_after_explained(box, ("a", 0, half), ("a", half, PROFILE.layers))
    assert len(box.return_books["p"].places) == 1


def test_layers_that_no_domain_holds_are_back_after_the_load_time() -> None:
    """Failure: the holder of half of the layers is gone; the other one refused."""
    box = contended_state()
    half = PROFILE.layers // 2
    seconds = retry_after_explained(box, ("a", 0, half))
    assert seconds == pytest.approx(load_seconds(PROFILE, half, concurrent_loads=1))
    assert "p" not in box.return_books
