"""The port to plain services: one HTTP request and one whole answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import httpx
import msgspec

from ..http1.backpressure import read_backoff
from ..model import EXECUTION_HEADER, Execution
from .fields import named_rate, raw_fields

if TYPE_CHECKING:
    from ..model.exchange import AdvertisedRate

ANSWER_LIMIT: Final = 16 * 1024 * 1024
"""Longest answer of a service, in bytes."""


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of a plain service."""

    method: str
    """HTTP method."""

    path: str
    """Path below the root of the service."""

    content_type: str
    """Content type of the body."""

    body: bytes
    """Request body."""

    key: str
    """Idempotency key, or empty."""


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of a plain service."""

    status: int
    """HTTP status."""

    content_type: str
    """Content type of the body."""

    body: bytes
    """Answer body."""

    backoff_seconds: float | None = None
    """How long the service wants nothing more from this box, if it said so."""

    named_rate: AdvertisedRate | None = None
    """Requests a second that it takes from all boxes together, if it names any."""


class ServiceCallError(Exception):
    """A call that brought no answer."""

    def __init__(
        self,
        execution: Execution,
        detail: str,
        *,
        backoff_seconds: float | None = None,
        named_rate: AdvertisedRate | None = None,
    ) -> None:
        super().__init__(detail)
        self.execution = execution
        """Whether the service may have run the call."""
        self.backoff_seconds = backoff_seconds
        """How long the service wants nothing more from this box, if it said so."""
        self.named_rate = named_rate
        """Requests a second that it takes from all boxes together, if it names any."""


async def call_service(client: httpx.AsyncClient, address: str, call: ServiceCall) -> ServiceAnswer:
    """Call a service once.

    Args:
        client: HTTP client.
        address: `host:port` of the service.
        call: The call.

    Returns:
        The answer, whatever its status.

    Raises:
        ServiceCallError: With NOT_RUN only if no byte was sent or the service itself said so.
    """
    headers = {"content-type": call.content_type}
    if call.key:
        headers["idempotency-key"] = call.key
    url = f"http://{address}/{call.path}"
    try:
        async with client.stream(call.method, url, content=call.body, headers=headers) as response:
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > ANSWER_LIMIT:
                    raise ServiceCallError(Execution.RAN, "the answer is too long")
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise ServiceCallError(Execution.NOT_RUN, str(error)) from error
    except httpx.HTTPError as error:
        raise ServiceCallError(Execution.UNKNOWN, f"{type(error).__name__}: {error}") from error
    rest = read_backoff(response.status_code, raw_fields(response))
    if response.headers.get(EXECUTION_HEADER) == Execution.NOT_RUN.value:
        detail = f"refused with status {response.status_code}"
        raise ServiceCallError(
            Execution.NOT_RUN, detail, backoff_seconds=rest, named_rate=named_rate(response)
        )
    content_type = response.headers.get("content-type", "application/octet-stream")
    return ServiceAnswer(
        status=response.status_code,
        content_type=content_type,
        body=bytes(body),
        backoff_seconds=rest,
        named_rate=named_rate(response),
    )
