"""The port to model engines: HTTP with one JSON object a line.

The entry sends the head of a route one request that carries the whole route. The stages pass
activations on among themselves, and the head streams the tokens back. Nothing else in the package
knows how engines are spoken to.
"""

from __future__ import annotations

import logging
from collections.abc import AsyncGenerator, Callable
from typing import TYPE_CHECKING, Annotated, Final

import anyio
import httpx
import msgspec

from ..http1.backpressure import raise_for_backoff, read_backoff
from ..routing.session import ReceiptStage, TokenFrame
from .fields import named_rate, raw_fields

if TYPE_CHECKING:
    from ..coordination.orders import Assignment
    from ..model import Route
    from ..model.exchange import AdvertisedRate

logger = logging.getLogger(__name__)

RUN_PATH: Final = "/stage/v1/run"
CANCEL_PATH: Final = "/stage/v1/cancel"
LIVE_PATH: Final = "/stage/v1/live"
LOAD_PATH: Final = "/stage/v1/load"
ORDER_PATH: Final = "/stage/v1/orders"

CONNECT_SECONDS: Final = 0.5
CANCEL_SECONDS: Final = 10.0
"""How long an engine is told to drop a request that it does not take; engines forget what nobody
asks for some time later."""

CANCEL_PAUSE_SECONDS: Final = 0.5
"""Pause before it is told again; doubled each time."""

PROBE_SECONDS: Final = 0.4
"""How long a live engine may take to answer a probe or to tell its load."""

ORDER_SECONDS: Final = 1.0
"""How long an engine may take to answer an order; loading goes on after the answer."""

LINE_LIMIT: Final = 1024 * 1024
"""Longest line that an engine may send, in bytes."""

REFUSED_STATUS: Final = (409, 429, 503)
"""Statuses with which an engine refuses before it starts."""

OK_STATUS: Final = 200


class RouteStage(msgspec.Struct, frozen=True, kw_only=True):
    """One stage as the engines are told of it."""

    upstream: str
    address: str
    first: int
    end: int


class RunRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the head of a route to start or continue a request."""

    session: str
    attempt: int
    model: str
    prompt: str
    tokens: tuple[int, ...]
    """Tokens accepted so far; the next position is their number."""

    max_tokens: int
    rank: int
    """Rank of the request's priority, 0 first."""

    route: tuple[RouteStage, ...]


class CancelRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a stage to drop what it holds for a request, up to an attempt."""

    session: str
    attempt: int


class LostFrame(msgspec.Struct, frozen=True, kw_only=True, tag="lost", tag_field="type"):
    """The head could not get on because of a stage."""

    session: str
    attempt: int
    upstream: str
    refused: bool = False
    """True if the stage is alive and refused the work."""

    leaving: bool = False
    """True if it refused because it is leaving."""


EngineFrame = TokenFrame | LostFrame

_FRAME_DECODER: Final = msgspec.json.Decoder(EngineFrame)


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body with which an engine refuses before it starts."""

    reason: str = ""
    leaving: bool = False


class EngineRefusedError(Exception):
    """The head refused before it started."""

    def __init__(self, body: RefusalBody, *, backoff_seconds: float | None = None) -> None:
        super().__init__(body.reason)
        self.body = body
        """What the engine said."""
        self.backoff_seconds = backoff_seconds
        """How long it wants nothing more from this box, if it said so."""


class EngineLostError(Exception):
    """The connection to the head failed or ended early."""


class EngineUnreachableError(EngineLostError):
    """No connection to the head came up, so that nothing was sent."""


class OrderRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Order an engine to hold layers of a model version; the fence is (term, index)."""

    term: int
    index: int
    model: str
    version: str
    first: int
    end: int


def make_order_request(term: int, index: int, assignment: Assignment) -> OrderRequest:
    """Build an order under a fence."""
    return OrderRequest(
        term=term,
        index=index,
        model=assignment.model,
        version=assignment.version,
        first=assignment.span.first,
        end=assignment.span.end,
    )


async def send_order(client: httpx.AsyncClient, address: str, order: OrderRequest) -> bool | None:
    """Send an order to an engine.

    Args:
        client: HTTP client.
        address: `host:port` of the engine.
        order: The order.

    Returns:
        True if the engine holds what was ordered, False if it refused the fence or is at it, None
        if it did not answer.

    Raises:
        BackoffRequestedError: If it asks for rest.
    """
    url = f"http://{address}{ORDER_PATH}"
    try:
        with anyio.fail_after(ORDER_SECONDS):
            response = await client.post(url, content=msgspec.json.encode(order))
    except (httpx.HTTPError, TimeoutError):
        return None
    raise_for_backoff(response.status_code, raw_fields(response))
    return response.status_code == OK_STATUS


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load as an engine reports it, with a lag."""

    running: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    leaving: bool = False


def make_run_request(
    *,
    session: str,
    attempt: int,
    model: str,
    prompt: str,
    tokens: list[int],
    max_tokens: int,
    rank: int,
    route: Route,
) -> RunRequest:
    """Build the request for the head of a route."""
    stages = tuple(
        RouteStage(
            upstream=stage.upstream,
            address=stage.address,
            first=stage.span.first,
            end=stage.span.end,
        )
        for stage in route.stages
    )
    return RunRequest(
        session=session,
        attempt=attempt,
        model=model,
        prompt=prompt,
        tokens=tuple(tokens),
        max_tokens=max_tokens,
        rank=rank,
        route=stages,
    )


async def run_on_engine(
    client: httpx.AsyncClient,
    request: RunRequest,
    note_rate: Callable[[AdvertisedRate | None], None] = lambda _named: None,
) -> AsyncGenerator[list[EngineFrame], None]:
    """Run a request and yield the frames that each read brings.

    Args:
        client: HTTP client without a read time-out; the caller watches progress.
        request: The request.
        note_rate: Takes the rate that the answer of the head names, or None.

    Yields:
        Frames in the order in which the head sent them.

    Raises:
        EngineRefusedError: If the head refused before it started.
        EngineUnreachableError: If no connection came up.
        EngineLostError: If the connection ended early, or brought something malformed.
    """
    url = f"http://{request.route[0].address}{RUN_PATH}"
    try:
        async with client.stream("POST", url, content=msgspec.json.encode(request)) as response:
            note_rate(named_rate(response))
            if response.status_code != OK_STATUS:
                await _raise_for_status(response)
            rest = b""
            async for chunk in response.aiter_raw():
                lines = (rest + chunk).split(b"\n")
                rest = lines.pop()
                if len(rest) > LINE_LIMIT:
                    raise EngineLostError("line too long")
                frames = [_FRAME_DECODER.decode(line) for line in lines if line]
                if frames:
                    yield frames
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise EngineUnreachableError(f"{type(error).__name__}: {error}") from error
    except httpx.HTTPError as error:
        raise EngineLostError(f"{type(error).__name__}: {error}") from error
    except msgspec.DecodeError as error:
        raise EngineLostError(f"malformed frame: {error}") from error


async def _raise_for_status(response: httpx.Response) -> None:
    content = await response.aread()
    if response.status_code not in REFUSED_STATUS:
        raise EngineLostError(f"status {response.status_code}")
    try:
        body = msgspec.json.decode(content, type=RefusalBody)
    except msgspec.DecodeError:
        body = RefusalBody(reason=f"status {response.status_code}")
    raise EngineRefusedError(
        body, backoff_seconds=read_backoff(response.status_code, raw_fields(response))
    )


async def cancel_on_engine(client: httpx.AsyncClient, address: str, request: CancelRequest) -> None:
    """Tell an engine to drop a request, again and again until it has taken it.

    One that stands still takes it once it goes on; until then the request keeps its memory. One
    that has ended holds nothing.

    Args:
        client: HTTP client.
        address: `host:port` of the engine.
        request: The request.
    """
    pause = CANCEL_PAUSE_SECONDS
    with anyio.move_on_after(CANCEL_SECONDS):
        while not await _is_cancelled(client, address, request):
            await anyio.sleep(pause)
            pause *= 2
        return
    logger.warning(
        "cancellation not taken", extra={"address": address, "request_id": request.session}
    )


async def _is_cancelled(client: httpx.AsyncClient, address: str, request: CancelRequest) -> bool:
    """Tell an engine once to drop a request; returns True if it needs not be told again."""
    url = f"http://{address}{CANCEL_PATH}"
    try:
        with anyio.fail_after(CONNECT_SECONDS):
            await client.post(url, content=msgspec.json.encode(request))
    except httpx.ConnectError as error:
        logger.info("nobody to cancel on", extra={"address": address, "reason": str(error)})
    except (httpx.HTTPError, TimeoutError):
        return False
    return True


async def is_live(
    client: httpx.AsyncClient, address: str, *, seconds: float = PROBE_SECONDS
) -> bool:
    """Ask an engine for a sign of life.

    Args:
        client: HTTP client.
        address: `host:port` of the engine.
        seconds: How long it may take.

    Returns:
        False if it does not answer in time.
    """
    try:
        with anyio.fail_after(seconds):
            response = await client.get(f"http://{address}{LIVE_PATH}")
    except (httpx.HTTPError, TimeoutError):
        return False
    return response.status_code == OK_STATUS


async def read_load(client: httpx.AsyncClient, address: str) -> EngineLoad | None:
    """Read an engine's load report.

    Args:
        client: HTTP client.
        address: `host:port` of the engine.

    Returns:
        The report, or None if there is none or it is absurd.

    Raises:
        BackoffRequestedError: If it asks for rest.
    """
    try:
        with anyio.fail_after(PROBE_SECONDS):
            response = await client.get(f"http://{address}{LOAD_PATH}")
        raise_for_backoff(response.status_code, raw_fields(response))
        return msgspec.json.decode(response.content, type=EngineLoad)
    except (httpx.HTTPError, TimeoutError, msgspec.DecodeError):
        return None


__all__ = [
    "CancelRequest",
    "EngineFrame",
    "EngineLoad",
    "EngineLostError",
    "EngineUnreachableError",
    "EngineRefusedError",
    "LostFrame",
    "OrderRequest",
    "ReceiptStage",
    "RefusalBody",
    "RouteStage",
    "RunRequest",
    "TokenFrame",
    "cancel_on_engine",
    "is_live",
    "make_order_request",
    "make_run_request",
    "read_load",
    "run_on_engine",
    "send_order",
]
