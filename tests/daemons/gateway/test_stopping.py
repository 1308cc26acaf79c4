"""How a gateway applies a planned stop to its requests."""

from __future__ import annotations

import anyio
import pytest

from ledgeladder.daemons.gateway.checks import ends_with_stop, explain_stop_refusal
from ledgeladder.daemons.gateway.stopping import begin_stop, end_requests
from ledgeladder.model.traffic import RequestKind
from ledgeladder.routing.attempt_counts import AttemptCounts

from .builders import gateway_state
from .failing_upstream import permit


@pytest.mark.parametrize(
    ("kind", "resumable", "is_sent"),
    [
        (RequestKind.ONCE, False, False),
        (RequestKind.STREAM, False, False),
        (RequestKind.STREAM, True, True),
        (RequestKind.REPEATABLE, False, True),
    ],
)
def test_route_decides_whether_a_long_deadline_is_taken(
    kind: RequestKind, resumable: bool, is_sent: bool
) -> None:
    """Guards against a stop that treats streams which may run once only as repeatable."""

    async def run() -> None:
        state, now = gateway_state(), anyio.current_time()
        long = permit(now, kind, resumable=resumable, seconds=60.0)
        assert explain_stop_refusal(state, long, counts=AttemptCounts()) == ""
        begin_stop(state)
        assert (explain_stop_refusal(state, long, counts=AttemptCounts()) == "") is is_sent
        # A request that may have run goes on; one that an upstream refused has not run.
        assert explain_stop_refusal(state, long, counts=AttemptCounts(sent=1)) == ""
        refused = AttemptCounts(sent=1, refused=1)
        assert (explain_stop_refusal(state, long, counts=refused) == "") is is_sent

    anyio.run(run)


def test_stop_that_ends_cancels_what_is_being_sent() -> None:
    """Guards against requests in progress that get no answer at the end of a stop."""

    async def run() -> None:
        state = gateway_state()
        ended = []

        async def wait(number: int) -> None:
            with anyio.CancelScope() as scope, ends_with_stop(state, scope):
                await anyio.sleep_forever()
            ended.append(number)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait, 1)
            tasks.start_soon(wait, 2)
            await anyio.wait_all_tasks_blocked()
            end_requests(state)
            # One that begins to be sent afterwards ends too.
            tasks.start_soon(wait, 3)
        assert sorted(ended) == [1, 2, 3]
        assert state.refusing
        assert not state.stop_scopes

    anyio.run(run)
