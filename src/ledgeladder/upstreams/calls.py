"""Calls of upstreams whose answers are short and read as a whole."""

from __future__ import annotations

import logging
from typing import Final

import httpx

from ..model.exchange import FINAL_STATUSES

logger = logging.getLogger(__name__)

MAX_SHORT_ANSWER_BYTES: Final = 64 * 1024
"""Longest body of an answer to a probe, a report, an order or a cancellation."""


class AnswerTooLongError(httpx.RemoteProtocolError):
    """The body of an answer exceeds its limit."""


class StatusInvalidError(httpx.RemoteProtocolError):
    """The status of an answer is no HTTP status."""


async def call(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    *,
    content: bytes | None = None,
    limit: int = MAX_SHORT_ANSWER_BYTES,
) -> tuple[httpx.Response, bytes]:
    """Call an upstream, and stop reading an answer that is too long.

    Args:
        client: HTTP client.
        method: HTTP method.
        url: The URL.
        content: Body of the request.
        limit: Longest accepted body, in bytes.

    Returns:
        The answer and its body, whose content coding is not decoded.

    Raises:
        httpx.HTTPError: If there is no whole answer, if it is too long, or if the call failed in
            another way, as with an address that no connection can be opened to.
    """
    try:
        async with client.stream(method, url, content=content) as response:
            check_status(response)
            return response, await read_short_body(response, limit)
    except httpx.HTTPError:
        raise
    except Exception as error:
        # Most callers call many upstreams in one task group, where it would cancel all calls.
        logger.warning("call failed unexpectedly", extra={"url": url}, exc_info=error)
        raise httpx.TransportError(f"{url}: {type(error).__name__}: {error}") from error


def check_status(response: httpx.Response) -> None:
    """Check the status of an answer; without one, nothing else in its head counts.

    Raises:
        StatusInvalidError: If it is no status of a final answer.
    """
    if response.status_code not in FINAL_STATUSES:
        raise StatusInvalidError(f"status {response.status_code} from {response.url}")


async def read_short_body(response: httpx.Response, limit: int = MAX_SHORT_ANSWER_BYTES) -> bytes:
    """Read the body of an open answer.

    Raises:
        httpx.HTTPError: If it ends early or is too long.
    """
    body = bytearray()
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > limit:
            raise AnswerTooLongError(f"body of more than {limit} bytes from {response.url}")
    return bytes(body)
