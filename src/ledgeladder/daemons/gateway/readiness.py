"""The readiness endpoint, which tells load balancers whether this box accepts connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...model import Problem, ResultCode
from ...platform.exchange import READY_PATH
from ..metrics_page import build_monitor_site
from ..plain_problems import write_problem
from ..supervisor import failing_children
from .state import check_freshness

if TYPE_CHECKING:
    from ...http1 import Exchange, HttpRequest, HttpSite
    from .state import GatewayState

OK = 200
"""HTTP status of a ready box."""


def is_ready(state: GatewayState, callers: HttpSite) -> bool:
    """Return whether a caller that connects now is likely to be served.

    True if no planned stop has begun, connections of callers are accepted, the document is
    confirmed as the newest, and any upstream is known.

    Args:
        state: State of the process.
        callers: The site that serves callers.
    """
    if state.stopping or state.configuration is None or not callers.is_open:
        return False
    return check_freshness(state, anyio.current_time()) and bool(state.table.upstreams)


def build_ready_site(state: GatewayState, callers: HttpSite) -> HttpSite:
    """Build the site that answers readiness checks of the load balancer.

    Args:
        state: State of the process.
        callers: The site that serves callers.
    """

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        if request.target.decode("latin-1").partition("?")[0] != READY_PATH:
            await write_problem(exchange, Problem(code=ResultCode.NOT_FOUND))
        elif is_ready(state, callers):
            await exchange.answer(OK, [(b"Content-Type", b"text/plain")], _ready_text(state))
        else:
            code = ResultCode.STOPPING if state.stopping else ResultCode.STARTING
            await write_problem(exchange, Problem(code=code))

    return build_monitor_site(handle)


def _ready_text(state: GatewayState) -> bytes:
    """Return the text of a ready box, which names the tasks that fail while callers are served."""
    failing = failing_children(state.children, anyio.current_time())
    return f"ready\nfailing: {', '.join(failing)}\n".encode() if failing else b"ready\n"
