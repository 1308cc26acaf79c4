"""Calls to engines beside requests: orders to hold layers or change a running path, and reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..coordination.engine_orders import EngineCall, EngineReport, OrderOutcome
from .exchange import encode_path
from .registrations import upstream_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.exchange import PathPart
    from ..model.registration import Holding

ORDER_TARGET: Final = b"/api/order"
"""Path at which engines take orders."""

REPORT_TARGET: Final = b"/api/report"
"""Path at which engines report how they do."""


class _Report(msgspec.Struct):
    # How many times slower than usual the engine works, and not how fast.
    pace: float = 1.0
    # Orders that the engine has begun since it started, and not a number of messages.
    sequence: int = 0
    # True while an order is carried out; requests do not count.
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
    instance: str, holding: Holding, fence: int, orders_taken: int, *, wait: bool
) -> EngineCall:
    """Build the order to hold a range of layers.

    Args:
        instance: Run of the engine that is meant.
        holding: Layers to hold.
        fence: Term of the leader that orders.
        orders_taken: Orders that the engine must have taken before; it refuses this one otherwise.
        wait: True if requests on layers that are given up may finish first.
    """
    body = {
        "op": "place",
        "from": holding.first,
        "targetVersion": holding.end,
        "how": "wait" if wait else "cut",
        "fence": fence,
        "expectedRev": orders_taken,
    }
    return _order(instance, body)


def repath_call(instance: str, attempt_id: str, path: Iterable[PathPart]) -> EngineCall:
    """Build the order to carry a running request on over other engines.

    Args:
        instance: Run of the first engine of the path.
        attempt_id: The request.
        path: The new path, with the same first part.
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
    """Tell what an engine's answer to an order means."""
    return _OUTCOMES.get(status, OrderOutcome.REFUSED)


def report_call() -> EngineCall:
    """Build the call that asks an engine for its report."""
    return EngineCall(method=b"GET", target=REPORT_TARGET, headers=[], body=b"")


def read_report(body: bytes) -> EngineReport | None:
    """Decode an engine's report; None if it cannot be read.

    >>> read_report(b'{"pace":4.0,"busy":false}')
    EngineReport(slowdown=4.0, started_orders=0, is_busy=False)
    >>> read_report(b"oops") is None
    True
    """
    try:
        report = _REPORT_DECODER.decode(body)
    except msgspec.DecodeError:
        return None
    return EngineReport(slowdown=report.pace, started_orders=report.sequence, is_busy=report.busy)
