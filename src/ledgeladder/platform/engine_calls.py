"""Control calls to engines: orders to load layers or to change a path, and queries of reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..coordination.engine_orders import EngineCall, EngineReport, OrderOutcome
from ..model import MALFORMED_ERRORS
from .exchange import encode_path
from .registrations import upstream_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.exchange import PathPart
    from ..model.registration import Holding

ORDER_TARGET: Final = b"/api/order"
"""Path at which engines accept orders."""

REPORT_TARGET: Final = b"/api/report"
"""Path at which engines report their state."""


class _Report(msgspec.Struct):
    # Slowdown factor relative to the normal speed, despite its name.
    pace: float = 1.0
    # Number of orders that the engine has started since its own start, despite its name.
    sequence: int = 0
    # True while an order is executed; requests do not count.
    busy: bool = False


_REPORT_DECODER: Final = msgspec.json.Decoder(_Report)

_OUTCOMES: Final = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.STARTED,
    404: OrderOutcome.UNKNOWN_REQUEST,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.WRONG_UPSTREAM,
}


def place_call(
    instance: str, holding: Holding, fence: int, expected_orders: int, *, wait: bool
) -> EngineCall:
    """Build the order to load a range of layers.

    Args:
        instance: Instance of the engine that must execute it.
        holding: Layers to load.
        fence: Term of the leader that sends the order.
        expected_orders: Number of orders that the engine must have started before; with any other
            number it refuses this one.
        wait: True to let requests on unloaded layers finish first.
    """
    body = {
        "op": "place",
        "from": holding.first,
        "targetVersion": holding.end,
        "how": "wait" if wait else "cut",
        "fence": fence,
        "expectedRev": expected_orders,
    }
    return _order(instance, body)


def repath_call(instance: str, attempt_id: str, path: Iterable[PathPart]) -> EngineCall:
    """Build the order to continue a running request over other engines.

    Args:
        instance: Instance of the first engine of the path.
        attempt_id: Id of the attempt.
        path: The new path, with an unchanged first part.
    """
    return _order(instance, {"op": "repath", "id": attempt_id, "path": encode_path(path)})


def _order(instance: str, body: dict[str, object]) -> EngineCall:
    encoded = msgspec.json.encode(body)
    return EngineCall(
        method=b"POST",
        target=ORDER_TARGET,
        headers=[
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(encoded)).encode()),
            (b"Expect-Replica", upstream_of(instance).encode()),
        ],
        body=encoded,
    )


def read_outcome(status: int) -> OrderOutcome:
    """Return the outcome of an order for the status of the engine's answer."""
    return _OUTCOMES.get(status, OrderOutcome.REFUSED)


def report_call() -> EngineCall:
    """Build the call that queries the report of an engine."""
    return EngineCall(method=b"GET", target=REPORT_TARGET, headers=[], body=b"")


def read_report(body: bytes) -> EngineReport | None:
    """Decode the report of an engine; return None if it is malformed.

    >>> read_report(b'{"pace":4.0,"busy":false}')
    EngineReport(slowdown=4.0, started_orders=0, is_busy=False)
    >>> read_report(b"oops") is None
    True
    >>> read_report(b'{"a":' * 3000) is None
    True
    """
    try:
        report = _REPORT_DECODER.decode(body)
    except MALFORMED_ERRORS:
        return None
    return EngineReport(slowdown=report.pace, started_orders=report.sequence, is_busy=report.busy)
