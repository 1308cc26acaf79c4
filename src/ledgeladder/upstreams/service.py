"""Client for plain services: one HTTP request, one complete answer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final, NoReturn

import anyio
import httpx
import msgspec

from ..http1.backpressure import read_backoff
from ..model import EXECUTION_HEADER, Execution
from ..model.exchange import MAX_ANSWER_BYTES
from .calls import check_status, read_short_body
from .fields import advertised_rate, raw_fields

if TYPE_CHECKING:
    from ..model.exchange import AdvertisedRate


REFUSAL_BODY_SECONDS: Final = 0.25
"""Time for the body of a refusal."""

BODILESS_STATUSES: Final = frozenset({204, 304})
"""Statuses of answers that never have a body."""


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of a plain service."""

    method: str
    """HTTP method."""

    path: str
    """Path relative to the root of the service."""

    content_type: str
    """Content type of the body."""

    body: bytes
    """Request body."""

    key: str
    """Idempotency key; empty if there is none."""


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of a plain service."""

    status: int
    """HTTP status."""

    content_type: str
    """Content type of the body."""

    body: bytes
    """Answer body."""

    backoff_seconds: float | None = None
    """Back-off that the service requested, in seconds; None if it requested none."""

    advertised_rate: AdvertisedRate | None = None
    """Rate that it advertises for all boxes together; None if it advertises none."""


class ServiceCallError(Exception):
    """A call without an answer."""

    def __init__(
        self,
        execution: Execution,
        detail: str,
        *,
        backoff_seconds: float | None = None,
        advertised_rate: AdvertisedRate | None = None,
    ) -> None:
        super().__init__(detail)
        self.execution = execution
        """Whether the service may have run the call."""
        self.backoff_seconds = backoff_seconds
        """Back-off that the service requested, in seconds; None if it requested none."""
        self.advertised_rate = advertised_rate
        """Rate that it advertises for all boxes together; None if it advertises none."""


async def call_service(client: httpx.AsyncClient, address: str, call: ServiceCall) -> ServiceAnswer:
    """Call a service once.

    Args:
        client: HTTP client.
        address: `host:port` of the service.
        call: The call.

    Returns:
        The answer, whatever its status.

    Raises:
        ServiceCallError: With NOT_RUN only if nothing was sent or the service reported it.
    """
    headers = {"content-type": call.content_type}
    if call.key:
        headers["idempotency-key"] = call.key
    url = f"http://{address}/{call.path}"
    try:
        async with client.stream(call.method, url, content=call.body, headers=headers) as response:
            check_status(response)
            if response.headers.get(EXECUTION_HEADER) == Execution.NOT_RUN.value:
                await _raise_refused(response)
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    raise ServiceCallError(Execution.RAN, "the answer is too long")
            if not body and not _states_length(call, response):
                detail = "closed after the head, with neither a length nor a body"
                raise ServiceCallError(Execution.UNKNOWN, detail)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise ServiceCallError(Execution.NOT_RUN, str(error)) from error
    except httpx.HTTPError as error:
        raise ServiceCallError(Execution.UNKNOWN, f"{type(error).__name__}: {error}") from error
    backoff = read_backoff(response.status_code, raw_fields(response))
    content_type = response.headers.get("content-type", "application/octet-stream")
    return ServiceAnswer(
        status=response.status_code,
        content_type=content_type,
        body=bytes(body),
        backoff_seconds=backoff,
        advertised_rate=advertised_rate(response),
    )


def _states_length(call: ServiceCall, response: httpx.Response) -> bool:
    """Return whether the end of the body follows from the head (RFC 9112, section 6.3)."""
    if call.method == "HEAD" or response.status_code in BODILESS_STATUSES:
        return True
    return "content-length" in response.headers or "transfer-encoding" in response.headers


async def _raise_refused(response: httpx.Response) -> NoReturn:
    """Raise for a service that states that it did not run the call; its body is not needed.

    Raises:
        ServiceCallError: Always.
    """
    # Read for the reuse of the connection.
    with anyio.move_on_after(REFUSAL_BODY_SECONDS), contextlib.suppress(httpx.HTTPError):
        await read_short_body(response)
    raise ServiceCallError(
        Execution.NOT_RUN,
        f"refused with status {response.status_code}",
        backoff_seconds=read_backoff(response.status_code, raw_fields(response)),
        advertised_rate=advertised_rate(response),
    )
