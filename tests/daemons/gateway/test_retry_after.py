"""Retry delays for callers whose request found no path."""

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
from ledgeladder.routing.paths import NoPathReason

from ...routing.sample_site import PROFILE


def state(stream_seconds: float, layers: int) -> Any:
    holdings = (Holding(first=0, end=layers),)
    engine = SimpleNamespace(registration=SimpleNamespace(holdings=holdings))
    return SimpleNamespace(
        stream_pace=Pace(mean=stream_seconds),
        table=SimpleNamespace(pools={"p": [engine, engine]}),
    )


PERMIT: Any = SimpleNamespace(pool=SimpleNamespace(name="p", engine=PROFILE))
FULL = NoPathReason(engines={"full": 2, "lost": 1}, layers=(0, 8), full_links=())
LOST = NoPathReason(engines={"lost": 2, "usable": 1}, layers=(0, 8), full_links=())


def test_full_engines_have_capacity_after_half_a_stream_duration() -> None:
    assert retry_after_full(state(1.6, 8)) == pytest.approx(0.8)
    assert retry_after_no_path(state(1.6, 8), PERMIT, FULL) == pytest.approx(0.8)


def test_missing_layers_are_back_after_the_load_time() -> None:
    assert retry_after_no_path(state(0.5, 8), PERMIT, LOST) == pytest.approx(14.0 * 8 / 80)


def test_delay_has_a_minimum() -> None:
    assert retry_after_full(state(0.0, 8)) == MIN_RETRY_SECONDS
