"""Retry delay that a starting box names to its callers."""

from __future__ import annotations

import anyio
import pytest

from ledgeladder.daemons.gateway.checks import (
    MIN_START_RETRY_AFTER_SECONDS,
    STARTUP_SECONDS,
    permit_request,
)
from ledgeladder.model import ProblemError, ResultCode

from .builders import gateway_state


@pytest.mark.parametrize(
    ("uptime", "expected"),
    [(0.0, STARTUP_SECONDS), (0.8, STARTUP_SECONDS - 0.8), (9.0, MIN_START_RETRY_AFTER_SECONDS)],
)
def test_starting_box_names_the_expected_end_of_startup(uptime: float, expected: float) -> None:
    """Guards against a retry delay that ends before startup, after which callers give up."""
    state = gateway_state()

    async def request() -> ProblemError:
        state.started_at = anyio.current_time() - uptime
        with pytest.raises(ProblemError) as refused:
            permit_request(state, None, None)  # type: ignore[arg-type]
        return refused.value

    problem = anyio.run(request).problem
    assert problem.code is ResultCode.STARTING
    assert problem.retry_after == pytest.approx(expected, abs=0.05)
