"""A short run of the soak test; docs/testing.md describes longer runs."""

from __future__ import annotations

import pytest

from standins.soak import run_seed

FIXED_SEED = 20261202


@pytest.mark.parametrize("seed", [FIXED_SEED])
def test_no_promise_is_broken(seed: int) -> None:
    assert run_seed(seed, 10.0) == []
