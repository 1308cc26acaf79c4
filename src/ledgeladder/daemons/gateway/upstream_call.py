"""One call of an upstream: sending a request and reading the head and body of the answer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...http1 import (
    AnswerBrokenError,
    AnswerInvalidError,
    ConnectError,
    UpstreamConnection,
    read_head,
    read_part,
    send_request,
)
from ...model.exchange import MAX_ANSWER_BYTES
from ...platform.exchange import dispatch_headers, read_answer_facts
from ...routing.attempt_counts import AttemptCounts
from ...routing.forwarding_table import accepts_work, is_backing_off, record_load
from ...routing.rate_grants import acquire_grants
from .backpressure import handle_backpressure
from .checks import explain_stop_refusal
from .reaching import NoRelayError, connect_upstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    import h11

    from ...http1 import HttpRequest
    from ...model.exchange import AnswerFacts, Dispatch
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .notes import RequestTrace
    from .state import GatewayState

CONNECT_SECONDS: Final = 0.25
"""Connection timeout, about a hundred round trips inside a region. An upstream that exceeds it is
overloaded or lost; nothing was sent to it."""

REFUSAL_BODY_SECONDS: Final = 0.25
"""Time for the body of a refusal, which matters only for the reuse of the connection."""

MAX_BUFFERED_BYTES: Final = 64 * 1024 * 1024
"""Bytes of all answers that are being read, above which no long one is read on."""

LONG_ANSWER_BYTES: Final = 1024 * 1024
"""Size above which an answer counts as long."""

MIN_FAILURE_STATUS: Final = 500
"""Lowest HTTP status that counts as a failure of the upstream."""


class NotSentError(Exception):
    """The upstream could not be reached; nothing was sent."""

    @property
    def failure(self) -> ConnectError | None:
        """Why the connection could not be opened, if that is the reason."""
        return self.__cause__ if isinstance(self.__cause__, ConnectError) else None

    @property
    def is_inconclusive(self) -> bool:
        """True if this box is cut off and no other one could try: no evidence against it."""
        return isinstance(self.failure, NoRelayError)


class BackpressureError(Exception):
    """An upstream applied back-pressure after it was chosen; nothing was sent.

    It is backing off, is draining, or has a rate limit that leaves this box no grant; or a planned
    stop of this box leaves no time for an answer.
    """


class AnswerLostError(Exception):
    """The request may have been executed, but no complete answer was received."""

    @property
    def is_invalid(self) -> bool:
        """Whether the upstream sent bytes that are no answer, which is its own fault."""
        return isinstance(self.__cause__, AnswerInvalidError)


class AttemptAbandonedError(AnswerLostError):
    """This box ended the attempt because of what it concluded about the upstream."""


class OpenAnswer(msgspec.Struct, kw_only=True):
    """An answer whose head has been read and whose body has not."""

    connection: UpstreamConnection
    """Connection to read the body from."""

    head: h11.Response
    """Status and headers."""

    facts: AnswerFacts
    """Protocol headers, decoded."""

    @property
    def succeeded(self) -> bool:
        """True for a 2xx status."""
        return 200 <= self.head.status_code < 300


async def open_answer(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    dispatch: Dispatch,
    upstream: ForwardedUpstream,
    *,
    fresh_connection: bool,
    record_sent: Callable[[], None],
    later_engines: Sequence[ForwardedUpstream] = (),
    trace: RequestTrace | None = None,
) -> OpenAnswer:
    """Send a request to an upstream and wait for the head of its answer.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        dispatch: Values of the headers that are added to the request.
        upstream: The upstream to call.
        fresh_connection: Whether to avoid pooled connections, whose loss is indistinguishable from
            the loss of the answer.
        record_sent: Called before anything is written.
        later_engines: Engines that the request visits after the upstream.
        trace: Trace of the request, which is told which box relays it.

    Returns:
        The answer, with its body unread. The caller of this function closes the connection or
        returns it to the pool.

    Raises:
        NotSentError: If nothing was sent.
        BackpressureError: If a target applied back-pressure, or its rate grants were used up, or a
            planned stop began, while the connection was being opened.
        AnswerLostError: If the request may have been executed but no answer to it was received.
    """
    connection = await _get_connection(state, upstream, permit, fresh_connection=fresh_connection)
    if trace is not None:
        trace.relayed_by = connection.relayed_by
    sent_at = anyio.current_time()
    targets = (upstream, *later_engines)
    counts = AttemptCounts() if trace is None else trace.counts
    reason = _backpressure_reason(targets, sent_at) or explain_stop_refusal(
        state, permit, counts=counts
    )
    if reason:
        await connection.close()
        raise BackpressureError(reason)
    acquire_grants([item.limit for item in targets], sent_at)
    hide_key = state.index.needs_keys
    headers = dispatch_headers(request, dispatch, hide_key=hide_key)
    record_sent()
    try:
        await send_request(connection, request.method, request.target, headers, request.body)
        head = await read_head(connection)
        facts = read_answer_facts(head.status_code, head.headers)
        record_load(upstream, facts.load, anyio.current_time())
        handle_backpressure(state, permit, upstream, facts, sent_at)
        if not facts.wrong_upstream and facts.attempt_id != permit.facts.attempt_id:
            raise AnswerBrokenError("the answer belongs to another request")
        if facts.promises_unproved:
            raise AnswerBrokenError(f"status {head.status_code} does not say that it was not run")
    except AnswerBrokenError as error:
        await connection.close()
        raise AnswerLostError(str(error)) from error
    except BaseException:
        await connection.close()
        raise
    return OpenAnswer(connection=connection, head=head, facts=facts)


def _backpressure_reason(targets: Iterable[ForwardedUpstream], now: float) -> str:
    """Return why a request must not be sent to the targets; empty if it may be."""
    for item in targets:
        if accepts_work(item, now):
            continue
        instance = item.registration.instance
        if item.draining:
            return f"{instance} is draining"
        return (
            f"{instance} is backing off"
            if is_backing_off(item, now)
            else f"{instance} is rate-limited"
        )
    return ""


async def _get_connection(
    state: GatewayState, upstream: ForwardedUpstream, permit: Permit, *, fresh_connection: bool
) -> UpstreamConnection:
    address = upstream.registration.address
    if not fresh_connection:
        pooled = await state.connections.acquire(address)
        if pooled is not None:
            return pooled
    try:
        return await connect_upstream(
            state, upstream, seconds=CONNECT_SECONDS, request=permit.facts.attempt_id
        )
    except ConnectError as error:
        raise NotSentError(str(error)) from error


async def read_body(state: GatewayState, answer: OpenAnswer) -> bytes:
    """Read the body of an answer and return the connection to the pool.

    The head of a refusal is enough: if its body does not end soon, it is left out.

    Raises:
        AnswerLostError: If it ends early or is too long.
    """
    if not answer.facts.not_run:
        return await _read_whole_body(state, answer)
    with anyio.move_on_after(REFUSAL_BODY_SECONDS), contextlib.suppress(AnswerLostError):
        return await _read_whole_body(state, answer)
    return b""


async def _read_whole_body(state: GatewayState, answer: OpenAnswer) -> bytes:
    body = bytearray()
    counted = 0
    try:
        while (part := await read_part(answer.connection)) is not None:
            body += part
            state.buffered_bytes += len(part)
            counted += len(part)
            _check_size(state, counted)
    except AnswerBrokenError as error:
        await answer.connection.close()
        raise AnswerLostError(str(error)) from error
    except BaseException:
        await answer.connection.close()
        raise
    finally:
        state.buffered_bytes -= counted
    await state.connections.release(answer.connection, answer.facts.keep_alive_seconds)
    return bytes(body)


def _check_size(state: GatewayState, size: int) -> None:
    """Check the size of the part of a body that was read.

    Raises:
        AnswerInvalidError: If it is too long, or long while all bodies together are.
    """
    if size > MAX_ANSWER_BYTES:
        raise AnswerInvalidError(f"body of more than {MAX_ANSWER_BYTES} bytes")
    if size > LONG_ANSWER_BYTES and state.buffered_bytes > MAX_BUFFERED_BYTES:
        raise AnswerInvalidError(f"{state.buffered_bytes} bytes of answers are being read")
