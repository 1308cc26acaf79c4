"""Client for model engines, over HTTP with newline-delimited JSON.

The entry sends one request with the whole route to the head of the route. The stages forward
activations among themselves, and the head streams the tokens back. No other module depends on the
protocol of engines.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import TYPE_CHECKING, Annotated, Final

import anyio
import anyio.lowlevel
import httpx
import msgspec

from ..http1.backpressure import raise_for_backoff, read_backoff
from ..model import MALFORMED_ERRORS
from ..routing.session import ReceiptStage, TokenFrame
from .calls import call, check_status, read_short_body
from .fields import advertised_rate, raw_fields

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

CANCEL_REQUEST_TIMEOUT_SECONDS: Final = 0.5
"""Timeout for a single cancellation."""

CANCEL_TIMEOUT_SECONDS: Final = 10.0
"""Time for which a cancellation is retried. Engines drop abandoned requests by themselves later."""

CANCEL_RETRY_DELAY_SECONDS: Final = 0.5
"""Delay before the first retry of a cancellation; doubled for each further one."""

PROBE_TIMEOUT_SECONDS: Final = 0.4
"""Timeout for a probe or a load report."""

ORDER_TIMEOUT_SECONDS: Final = 1.0
"""Timeout for the answer to an order. The engine loads the layers after its answer."""

MAX_LINE_BYTES: Final = 1024 * 1024
"""Maximum length of a line from an engine, and of what may come without a frame."""

REFUSAL_STATUSES: Final = (409, 429, 503)
"""HTTP statuses with which an engine refuses a request before it starts."""

OK_STATUS: Final = 200


class RouteStage(msgspec.Struct, frozen=True, kw_only=True):
    """One stage of the route in a request to the head."""

    upstream: str
    address: str
    first: int
    end: int


class RunRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to the head of a route to start or continue a generation."""

    session: str
    attempt: int
    model: str
    prompt: str
    tokens: tuple[int, ...]
    """Tokens accepted so far. Their number is the position of the next one."""

    max_tokens: int
    rank: int
    """Rank of the request's priority; 0 is served first."""

    route: tuple[RouteStage, ...]


class CancelRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a stage to drop its state of a session, up to and including an attempt."""

    session: str
    attempt: int


class LostFrame(msgspec.Struct, frozen=True, kw_only=True, tag="lost", tag_field="type"):
    """Frame with which the head reports that a stage failed or refused."""

    session: str
    attempt: int
    upstream: str
    refused: bool = False
    """True if the stage is alive and refused the request."""

    leaving: bool = False
    """True if it refused because it is draining."""


EngineFrame = TokenFrame | LostFrame

_FRAME_DECODER: Final = msgspec.json.Decoder(EngineFrame)


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a refusal of an engine, before it starts a request."""

    reason: str = ""
    leaving: bool = False


class EngineRefusedError(Exception):
    """The head refused the request before it started."""

    def __init__(self, body: RefusalBody, *, backoff_seconds: float | None = None) -> None:
        super().__init__(body.reason)
        self.body = body
        """Body of the refusal."""
        self.backoff_seconds = backoff_seconds
        """Back-off that the engine requested, in seconds; None if it requested none."""


class EngineLostError(Exception):
    """The connection to the head failed or ended early."""


class EngineUnreachableError(EngineLostError):
    """No connection to the head was established, so nothing was sent."""


class OrderRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Order to an engine to hold layers of a model version; the fence is (term, index)."""

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
        True if the engine holds the ordered layers, False if it refused the fence or is still
        loading, None if it did not answer.

    Raises:
        BackoffRequestedError: If it requests back-off.
    """
    url = f"http://{address}{ORDER_PATH}"
    try:
        with anyio.fail_after(ORDER_TIMEOUT_SECONDS):
            response, _ = await call(client, "POST", url, content=msgspec.json.encode(order))
    except (httpx.HTTPError, TimeoutError):
        return None
    raise_for_backoff(response.status_code, raw_fields(response))
    return response.status_code == OK_STATUS


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load that an engine reports; it may be out of date."""

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
    record_rate: Callable[[AdvertisedRate | None], None] = lambda _advertised: None,
) -> AsyncGenerator[list[EngineFrame], None]:
    """Run a request and yield the frames of each read.

    Args:
        client: HTTP client without a read timeout; the caller monitors progress.
        request: The request.
        record_rate: Called with the rate that the head's answer advertises, or None.

    Yields:
        Frames in the order in which the head sent them.

    Raises:
        EngineRefusedError: If the head refused before it started.
        EngineUnreachableError: If no connection was established.
        EngineLostError: If the connection ended early, or a frame is malformed.
    """
    url = f"http://{request.route[0].address}{RUN_PATH}"
    try:
        async with client.stream("POST", url, content=msgspec.json.encode(request)) as response:
            check_status(response)
            record_rate(advertised_rate(response))
            if response.status_code != OK_STATUS:
                await _raise_for_status(response)
            async with aclosing(_read_frames(response)) as batches:
                async for frames in batches:
                    yield frames
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise EngineUnreachableError(f"{type(error).__name__}: {error}") from error
    except httpx.HTTPError as error:
        raise EngineLostError(f"{type(error).__name__}: {error}") from error
    except MALFORMED_ERRORS as error:
        raise EngineLostError(f"malformed frame: {error}") from error


async def _read_frames(response: httpx.Response) -> AsyncGenerator[list[EngineFrame], None]:
    """Yield the frames of each read.

    Raises:
        EngineLostError: If more than `MAX_LINE_BYTES` come without a frame.
        msgspec.DecodeError: If a frame is malformed.
    """
    remainder = bytearray()
    without_frame = 0
    async for chunk in response.aiter_raw():
        remainder += chunk
        without_frame += len(chunk)
        if b"\n" in chunk:
            *lines, last = bytes(remainder).split(b"\n")
            remainder = bytearray(last)
            frames = [_FRAME_DECODER.decode(line) for line in lines if line]
            if frames:
                without_frame = len(last)
                yield frames
                continue
        if without_frame > MAX_LINE_BYTES:
            raise EngineLostError(f"no frame in {without_frame} bytes")
        # Many short chunks of one read would keep other tasks from running.
        await anyio.lowlevel.checkpoint()


async def _raise_for_status(response: httpx.Response) -> None:
    content = b""
    # The status is enough if the body does not end.
    with anyio.move_on_after(PROBE_TIMEOUT_SECONDS), contextlib.suppress(httpx.HTTPError):
        content = await read_short_body(response)
    if response.status_code not in REFUSAL_STATUSES:
        raise EngineLostError(f"status {response.status_code}")
    try:
        body = msgspec.json.decode(content, type=RefusalBody)
    except MALFORMED_ERRORS:
        body = RefusalBody(reason=f"status {response.status_code}")
    raise EngineRefusedError(
        body, backoff_seconds=read_backoff(response.status_code, raw_fields(response))
    )


async def cancel_on_engine(client: httpx.AsyncClient, address: str, request: CancelRequest) -> None:
    """Cancel a request on an engine, with retries until the engine confirms.

    A suspended engine keeps the memory of the request until it resumes and handles the
    cancellation. An engine that has exited holds no state, so it gets no retry.

    Args:
        client: HTTP client.
        address: `host:port` of the engine.
        request: The cancellation.
    """
    delay = CANCEL_RETRY_DELAY_SECONDS
    with anyio.move_on_after(CANCEL_TIMEOUT_SECONDS):
        while not await _try_cancel(client, address, request):
            await anyio.sleep(delay)
            delay *= 2
        return
    logger.warning(
        "cancellation timed out", extra={"address": address, "request_id": request.session}
    )


async def _try_cancel(client: httpx.AsyncClient, address: str, request: CancelRequest) -> bool:
    """Send a cancellation once; return True if no retry is needed."""
    url = f"http://{address}{CANCEL_PATH}"
    try:
        with anyio.fail_after(CANCEL_REQUEST_TIMEOUT_SECONDS):
            await call(client, "POST", url, content=msgspec.json.encode(request))
    except httpx.ConnectError as error:
        logger.info(
            "connection failed; nothing to cancel",
            extra={"address": address, "reason": str(error)},
        )
    except (httpx.HTTPError, TimeoutError):
        return False
    return True


async def is_live(
    client: httpx.AsyncClient, address: str, *, seconds: float = PROBE_TIMEOUT_SECONDS
) -> bool:
    """Probe an engine.

    Args:
        client: HTTP client.
        address: `host:port` of the engine.
        seconds: Timeout.

    Returns:
        False if it does not answer in time.
    """
    try:
        with anyio.fail_after(seconds):
            response, _ = await call(client, "GET", f"http://{address}{LIVE_PATH}")
    except (httpx.HTTPError, TimeoutError):
        return False
    return response.status_code == OK_STATUS


async def read_load(client: httpx.AsyncClient, address: str) -> EngineLoad | None:
    """Read an engine's load report.

    Args:
        client: HTTP client.
        address: `host:port` of the engine.

    Returns:
        The report, or None if there is none or it is malformed.

    Raises:
        BackoffRequestedError: If it requests back-off.
    """
    try:
        with anyio.fail_after(PROBE_TIMEOUT_SECONDS):
            response, content = await call(client, "GET", f"http://{address}{LOAD_PATH}")
        raise_for_backoff(response.status_code, raw_fields(response))
        return msgspec.json.decode(content, type=EngineLoad)
    except (httpx.HTTPError, TimeoutError, *MALFORMED_ERRORS):
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
