"""One call of an upstream: sending a request and reading the head and body of the answer."""

from __future__ import annotations

import contextlib
import logging
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
from ...http1.byte_account import close_holder, open_holder, take
from ...model.exchange import MAX_ANSWER_BYTES
from ...platform.exchange import caller_headers, dispatch_headers, read_answer_facts
from ...routing.attempt_counts import AttemptCounts
from ...routing.forwarding_table import accepts_work, is_backing_off, record_load
from ...routing.rate_grants import acquire_grants
from .backpressure import handle_backpressure
from .checks import explain_stop_refusal
from .reaching import NoRelayError, connect_upstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    import h11

    from ...http1 import Exchange, HttpRequest
    from ...http1.byte_account import Holder
    from ...model.exchange import AnswerFacts, Dispatch
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .notes import RequestTrace
    from .state import GatewayState

logger = logging.getLogger(__name__)

CONNECT_SECONDS: Final = 0.25
"""Connection timeout, about a hundred round trips inside a region. An upstream that exceeds it is
overloaded or lost; nothing was sent to it."""

REFUSAL_BODY_SECONDS: Final = 0.25
"""Time for the body of a refusal, which matters only for the reuse of the connection."""

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


class NoRoomError(AnswerLostError):
    """This box has no memory for the answer, which is no fault of the upstream."""


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

    holder: Holder | None = None
    """What its body has taken of the memory of the process; None without a body that was read."""

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


async def read_body(state: GatewayState, answer: OpenAnswer) -> bytes | bytearray:
    """Read the body of an answer and return the connection to the pool.

    The body counts as held by the process until `release_answer` is called. The head of a refusal
    is enough: if its body does not end soon, it is left out.

    Raises:
        AnswerLostError: If it ends early, is too long, or finds no room.
    """
    if not answer.facts.not_run:
        return await _read_whole_body(state, answer)
    with anyio.move_on_after(REFUSAL_BODY_SECONDS), contextlib.suppress(AnswerLostError):
        return await _read_whole_body(state, answer)
    return b""


def release_answer(state: GatewayState, answer: OpenAnswer) -> None:
    """Give back the memory of an answer's body, which is not used any more."""
    if answer.holder is not None:
        close_holder(state.bytes_held, answer.holder)


def is_held(state: GatewayState, answer: OpenAnswer) -> bool:
    """Return whether the body of an answer has not made way for others."""
    return answer.holder is None or answer.holder.key in state.bytes_held.holders


async def send_answer(
    exchange: Exchange, permit: Permit, answer: OpenAnswer, body: bytes | bytearray
) -> None:
    """Send an answer to the caller, unless its memory is needed while the caller does not read.

    Args:
        exchange: Exchange on which the caller is answered.
        permit: Permit of the request.
        answer: The answer.
        body: Its body.
    """
    holder = answer.holder
    headers = caller_headers(answer.head.headers.raw_items())
    with anyio.CancelScope() as scope:
        if holder is not None:
            holder.evict = scope.cancel
            exchange.holder = holder
        await exchange.answer(answer.head.status_code, headers, body)
    if scope.cancelled_caught:
        # The connection is closed, as the answer is incomplete.
        logger.warning(
            "answer dropped, its caller does not read",
            extra={"request": permit.facts.attempt_id, "bytes": len(body)},
        )


async def _read_whole_body(state: GatewayState, answer: OpenAnswer) -> bytearray:
    body = bytearray()
    try:
        with anyio.CancelScope() as scope:
            while (part := await read_part(answer.connection)) is not None:
                _hold_part(state, answer, len(part), scope.cancel)
                body += part
                if len(body) > MAX_ANSWER_BYTES:
                    raise AnswerInvalidError(f"body of more than {MAX_ANSWER_BYTES} bytes")
        if not is_held(state, answer):
            raise NoRoomError(f"made way for others after {len(body)} bytes")
    except AnswerBrokenError as error:
        await _drop_answer(state, answer)
        raise AnswerLostError(str(error)) from error
    except BaseException:
        await _drop_answer(state, answer)
        raise
    if answer.holder is not None:
        # A whole answer that makes way is noticed when it is to be sent.
        answer.holder.evict = _do_nothing
    await state.connections.release(answer.connection, answer.facts.keep_alive_seconds)
    return body


def _hold_part(
    state: GatewayState, answer: OpenAnswer, count: int, evict: Callable[[], None]
) -> None:
    """Take memory for a part of a body.

    Raises:
        NoRoomError: If there is none.
    """
    now = anyio.current_time()
    if answer.holder is None:
        answer.holder = open_holder(state.bytes_held, "answer", now, evict)
    if not take(state.bytes_held, answer.holder, count, now):
        raise NoRoomError(f"no room beside {state.bytes_held.taken_bytes} bytes held")


async def _drop_answer(state: GatewayState, answer: OpenAnswer) -> None:
    release_answer(state, answer)
    await answer.connection.close()


def _do_nothing() -> None:
    """Stand for the callback of a holder that needs none."""
