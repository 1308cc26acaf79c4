"""One try of a request at one upstream, up to the head of its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...http1 import (
    AnswerBrokenError,
    ConnectError,
    UpstreamConnection,
    connect,
    read_head,
    read_part,
    send_request,
)
from ...platform.exchange import dispatch_headers, read_answer_facts
from ...routing.forwarding_table import is_resting, note_load, takes_work
from ...routing.rate_grants import take_grants
from .backpressure import handle_backpressure

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    import h11

    from ...http1 import HttpRequest
    from ...model.exchange import AnswerFacts, Dispatch
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .state import GatewayState

CONNECT_SECONDS: Final = 0.25
"""How long a connection may take: a hundred round trips inside a region. An upstream that does
not accept by then is full or lost, and nothing was sent to it."""

MIN_FAILURE_STATUS: Final = 500
"""Least status that counts as a failure of the upstream."""


class NotSentError(Exception):
    """The upstream could not be reached; nothing was sent."""

    @property
    def is_refusal(self) -> bool:
        """True if nobody listens at its address any more."""
        return isinstance(self.__cause__, ConnectError) and self.__cause__.is_refusal


class BackpressureError(Exception):
    """An upstream wants nothing more since it was chosen; nothing was sent.

    It has asked for rest, leaves, or has a limit that leaves nothing to this box.
    """


class AnswerLostError(Exception):
    """The request may have run, and there is no whole answer."""


class OpenAnswer(msgspec.Struct, kw_only=True):
    """An answer whose head has been read."""

    connection: UpstreamConnection
    """Connection that carries the rest."""

    head: h11.Response
    """Status and header fields."""

    facts: AnswerFacts
    """What the head says."""

    @property
    def succeeded(self) -> bool:
        """True for a status that says that the request was served."""
        return 200 <= self.head.status_code < 300


async def open_answer(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    dispatch: Dispatch,
    upstream: ForwardedUpstream,
    *,
    fresh_connection: bool,
    later_engines: Sequence[ForwardedUpstream] = (),
) -> OpenAnswer:
    """Send a request to an upstream and wait for the head of its answer.

    Args:
        state: The process's state.
        permit: What the request may do.
        request: The request.
        dispatch: What is added to it.
        upstream: Where to send it.
        fresh_connection: True if a connection that was used before must not carry it: its loss
            could not be told from the loss of the answer.
        later_engines: Engines that the request passes after the upstream.

    Returns:
        The answer, of which only the head was read. The caller closes or gives back its
        connection.

    Raises:
        NotSentError: If nothing was sent.
        BackpressureError: If the upstream wants it no more, which others' answers may say while a
            connection comes up, or others took what it was lent.
        AnswerLostError: If the request may have run and no answer that belongs to it came.
    """
    connection = await _get_connection(state, upstream, fresh_connection=fresh_connection)
    sent_at = anyio.current_time()
    targets = (upstream, *later_engines)
    reason = _backpressure_reason(targets, sent_at)
    if reason:
        await connection.close()
        raise BackpressureError(reason)
    take_grants([item.limit for item in targets], sent_at)
    hide_key = state.index.needs_keys
    headers = dispatch_headers(request, dispatch, hide_key=hide_key)
    try:
        await send_request(connection, request.method, request.target, headers, request.body)
        head = await read_head(connection)
        facts = read_answer_facts(head.status_code, head.headers)
        note_load(upstream, facts.load, anyio.current_time())
        handle_backpressure(state, permit, upstream, facts, sent_at)
        if not facts.wrong_upstream and facts.attempt_id != permit.facts.attempt_id:
            raise AnswerBrokenError("the answer belongs to another request")
    except AnswerBrokenError as error:
        await connection.close()
        raise AnswerLostError(str(error)) from error
    except BaseException:
        await connection.close()
        raise
    return OpenAnswer(connection=connection, head=head, facts=facts)


def _backpressure_reason(targets: Iterable[ForwardedUpstream], now: float) -> str:
    """Return why a request must not be sent after all; empty if it may be."""
    for item in targets:
        if takes_work(item, now):
            continue
        instance = item.registration.instance
        if item.leaving:
            return f"{instance} leaves"
        return f"{instance} rests" if is_resting(item, now) else f"{instance} has a limit"
    return ""


async def _get_connection(
    state: GatewayState, upstream: ForwardedUpstream, *, fresh_connection: bool
) -> UpstreamConnection:
    address = upstream.registration.address
    if not fresh_connection:
        pooled = await state.connections.take(address)
        if pooled is not None:
            return pooled
    try:
        return await connect(address, source=state.settings.box.address, seconds=CONNECT_SECONDS)
    except ConnectError as error:
        raise NotSentError(str(error)) from error


async def read_body(state: GatewayState, answer: OpenAnswer) -> bytes:
    """Read the body of an answer to its end and give the connection back.

    Raises:
        AnswerLostError: If it ends early.
    """
    parts: list[bytes] = []
    try:
        while (part := await read_part(answer.connection)) is not None:
            parts.append(part)
    except AnswerBrokenError as error:
        await answer.connection.close()
        raise AnswerLostError(str(error)) from error
    except BaseException:
        await answer.connection.close()
        raise
    await state.connections.give_back(answer.connection, answer.facts.keep_seconds)
    return b"".join(parts)
