"""Calls to engines beside requests: orders to hold layers, and to change a running path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..coordination.engine_orders import EngineCall, OrderOutcome
from .exchange import encode_path

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.exchange import PathPart
    from ..model.registration import Holding

ORDER_TARGET: Final = b"/api/order"

_OUTCOMES: Final = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.BEGUN,
    404: OrderOutcome.UNKNOWN_REQUEST,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.WRONG_UPSTREAM,
}


def place_call(instance: str, holding: Holding, fence: int, *, wait: bool) -> EngineCall:
    """Build the order to hold a range of layers.

    Args:
        instance: Run of the engine that is meant.
        holding: Layers to hold.
        fence: Term of the leader that orders.
        wait: True if requests on layers that are given up may finish first.
    """
    body = {
        "op": "place",
        "from": holding.first,
        "targetVersion": holding.end,
        "how": "wait" if wait else "cut",
        "fence": fence,
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
            (b"Expect-Replica", instance.encode()),
        ],
        body=encoded,
    )


def read_outcome(status: int) -> OrderOutcome:
    """Tell what an engine's answer to an order means."""
    return _OUTCOMES.get(status, OrderOutcome.REFUSED)
