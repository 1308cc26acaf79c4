"""When callers are told to come back."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ledgeladder.daemons.gateway.retry_after import (
    MIN_RETRY_SECONDS,
    retry_after_full,
    retry_after_no_path,
)
from ledgeladder.model.registration import Holding
from ledgeladder.routing.pace import Pace
from ledgeladder.routing.paths import MissingPath

from ...routing.sample_site import PROFILE


def state(stream_seconds: float, layers: int) -> Any:
    holdings = (Holding(first=0, end=layers),)
    engine = SimpleNamespace(registration=SimpleNamespace(holdings=holdings))
    return SimpleNamespace(
        stream_pace=Pace(mean=stream_seconds),
        table=SimpleNamespace(pools={"p": [engine, engine]}),
    )


PERMIT: Any = SimpleNamespace(pool=SimpleNamespace(name="p", engine=PROFILE))
FULL = MissingPath(engines={"full": 2, "lost": 1}, layers=(0, 8), full_links=())
LOST = MissingPath(engines={"lost": 2, "usable": 1}, layers=(0, 8), full_links=())


def test_room_is_there_when_half_of_the_streams_have_ended() -> None:
    assert retry_after_full(state(1.6, 8)) == pytest.approx(0.8)
    assert retry_after_no_path(state(1.6, 8), PERMIT, FULL) == pytest.approx(0.8)


def test_lost_layers_are_back_after_a_load() -> None:
    assert retry_after_no_path(state(0.5, 8), PERMIT, LOST) == pytest.approx(14.0 * 8 / 80)


def test_time_is_never_so_short_that_callers_come_back_in_a_loop() -> None:
    assert retry_after_full(state(0.0, 8)) == MIN_RETRY_SECONDS
