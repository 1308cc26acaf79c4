"""Serves callers: checks and forwards requests, and writes one log line for each."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import HttpSite
from ...http1.server import is_disconnect
from ...links.endpoint import describe_error
from ...model import ProblemError, ResultCode
from ...model.traffic import RequestKind
from ...platform.exchange import read_caller_facts
from ..plain_problems import write_problem
from .checks import OUT_OF_TIME, Permit, permit_request
from .crashes import refuse_quarantined
from .notes import RequestTrace, log_fields
from .plain import forward_plain
from .stream import forward_stream
from .waiting import is_starting, wait_for_start

if TYPE_CHECKING:
    from ...http1 import Exchange, HttpRequest
    from ...model.exchange import CallerFacts
    from .state import GatewayState

logger = logging.getLogger(__name__)

CALLER_DISCONNECTED: Final = "caller-left"
"""Outcome of a request whose caller closed the connection."""

STOPPED: Final = f"broken-off: {OUT_OF_TIME}"
"""Outcome of a request that was cancelled because a planned stop timed out."""


def build_caller_site(state: GatewayState) -> HttpSite:
    """Build the site that serves callers.

    Args:
        state: State of the process.
    """

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        facts = read_caller_facts(request)
        permit: Permit | None = None
        trace = RequestTrace()
        outcome = CALLER_DISCONNECTED
        try:
            if is_starting(state, facts, anyio.current_time()):
                trace.wait_seconds = await wait_for_start(state, request, facts)
            permit = permit_request(state, request, facts)
            refuse_quarantined(state, permit, request, trace)
            await _forward(state, permit, request, exchange, trace)
            outcome = "answered"
            if not exchange.complete:
                outcome = f"broken-off: {trace.give_up_reason or 'its time was over'}"
        except ProblemError as error:
            outcome = f"{error.problem.code.name}: {error.problem.detail}"
            state.metrics.counters[f"code-{error.problem.code.name}"] += 1
            await write_problem(exchange, error.problem)
        except Exception as error:
            if not is_disconnect(exchange, error):
                code = ResultCode.UNEXPECTED_ERROR
                outcome = f"{code.name}: {describe_error(error)}"
                state.metrics.counters[f"code-{code.name}"] += 1
            raise
        finally:
            if outcome == CALLER_DISCONNECTED and state.out_of_time:
                outcome = STOPPED
            _log_request(state, request, facts, permit, trace, outcome)

    return HttpSite(
        handler=handle,
        write_problem=write_problem,
        limits=lambda: state.limits,
        accept_queue=state.accept_queue,
        account=state.bytes_held,
    )


async def _forward(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    trace: RequestTrace,
) -> None:
    if _needs_path(permit):
        await forward_stream(state, permit, request, exchange, trace)
    else:
        await forward_plain(state, permit, request, exchange, trace)


def _needs_path(permit: Permit) -> bool:
    """Return True for streams over a path of engines."""
    return permit.pool.engine is not None and permit.route.kind is RequestKind.STREAM


def _log_request(
    state: GatewayState,
    request: HttpRequest,
    facts: CallerFacts,
    permit: Permit | None,
    trace: RequestTrace,
    outcome: str,
) -> None:
    state.metrics.counters["requests"] += 1
    now = anyio.current_time()
    extra = {
        "request": facts.attempt_id,
        "outcome": outcome,
        "seconds": round(now - request.arrived_at, 4),
        "version": state.version,
        "version_age": _version_age(state, now),
        **log_fields(trace),
    }
    if permit is not None:
        extra["route"] = permit.route.name
        extra["pool"] = permit.pool.name
        extra["account"] = permit.account
        if _needs_path(permit):
            extra["priority"] = permit.priority
    level = logging.INFO if outcome in ("answered", CALLER_DISCONNECTED) else logging.WARNING
    logger.log(level, "request", extra=extra)


def _version_age(state: GatewayState, now: float) -> float | None:
    """Return the time since the document was confirmed, in seconds; None before the first time."""
    age = now - state.freshness.as_of
    return round(age, 2) if age < float("inf") else None
