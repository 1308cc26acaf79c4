"""Applies a planned stop to the requests of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from ...model.traffic import RequestKind
from ...routing.planned_stop import StopWindow, explain_unsendable, plan_stop, usual_time
from .state import answer_pace

if TYPE_CHECKING:
    from .checks import Permit
    from .state import GatewayState

NOTICE_SHARE: Final = 0.36
"""Share of a planned stop's time in which new connections are still served: the load balancer polls
once a second and needs two failures in a row. The rest is for requests in progress."""


def begin_stop(state: GatewayState) -> StopWindow:
    """Begin a planned stop, and return its times."""
    seconds = state.settings.bounds.stop_seconds
    now = anyio.current_time()
    state.stopping = True
    state.stop_window = plan_stop(now, seconds, notice_seconds=seconds * NOTICE_SHARE)
    return state.stop_window


def explain_refusal(state: GatewayState, permit: Permit) -> str:
    """Return why a request that has not run must not be sent now; empty if it may be.

    Args:
        state: State of the process.
        permit: Permit of the request.
    """
    is_path_stream = permit.pool.engine is not None and permit.route.kind is RequestKind.STREAM
    pace = state.stream_pace if is_path_stream else answer_pace(state, permit.pool.name)
    return explain_unsendable(
        state.stop_window,
        anyio.current_time(),
        deadline=permit.deadline,
        may_repeat=permit.route.repeatable,
        usual_seconds=usual_time(pace, permit.route.target_latency),
    )


def end_requests(state: GatewayState) -> None:
    """End the requests in progress, each of which then sends its final answer."""
    state.refusing = state.out_of_time = True
    for scope in list(state.stop_scopes):
        scope.cancel()
