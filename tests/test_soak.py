"""Short runs of the soak test; docs/testing.md describes longer runs."""

from __future__ import annotations

import pytest

from standins.silence import MOVED, RAN_TOO_OFTEN, REFUSED
from standins.soak import run_ends_seed, run_seed, run_silence_seed

FIXED_SEED = 20261202

ENDS_SEED = 1
"""Seed with resets at a link port, signals at starts, a closed output and lowered descriptors."""

SILENCE_SEEDS = (1, 21)
"""Seeds in which all upstreams fall silent at once: with 3 engines, whose paths all cross failure
domains, and with 6, of which each failure domain holds all layers."""


@pytest.mark.parametrize("seed", [FIXED_SEED])
def test_no_promise_is_broken(seed: int) -> None:
    assert run_seed(seed, 10.0) == []


def test_faults_from_outside_end_no_process() -> None:
    """Failure: processes ended by themselves, as connections were reset or a port was held."""
    assert run_ends_seed(ENDS_SEED, 8.0) == []


@pytest.fixture(scope="module", params=SILENCE_SEEDS)
def silence_violations(request: pytest.FixtureRequest) -> list[str]:
    """Violations of one run with silences as the only faults."""
    return run_silence_seed(request.param, 6.0)


def test_silence_of_sound_upstreams_ends_no_answer(silence_violations: list[str]) -> None:
    """Failure: streams were cut or answered with 502 while their sound engines were suspended."""
    others = (MOVED, REFUSED, RAN_TOO_OFTEN)
    assert [item for item in silence_violations if not item.startswith(others)] == []


def test_silence_of_sound_engines_moves_no_layers(silence_violations: list[str]) -> None:
    """Failure: engines got other layers for good, as others were silent for a second."""
    assert [item for item in silence_violations if item.startswith(MOVED)] == []


def test_silence_of_sound_upstreams_refuses_nobody(silence_violations: list[str]) -> None:
    """Failure: streams were refused at once, as all engines were taken for lost."""
    assert [item for item in silence_violations if item.startswith(REFUSED)] == []


def test_silence_of_sound_engines_adds_no_attempts(silence_violations: list[str]) -> None:
    """Failure: streams ran on three engines where two are allowed, as the first was silent."""
    assert [item for item in silence_violations if item.startswith(RAN_TOO_OFTEN)] == []
