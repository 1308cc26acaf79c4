"""Relays connections of other entry boxes, which are cut off, to upstreams.

The asking box decides everything about its requests. This box only connects it with a registered
upstream, itself and at once, so that no connection passes a third box.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...http1 import ConnectError, connect
from ...links import accept_handshake
from ...links.endpoint import LINK_ERRORS, describe_error
from ...links.frames import encode_frame
from ...links.messages import PeerRole, RelayOutcome, RelayReply, RelayRequest
from ...links.relayed import END_FRAME, READ_BYTES, frame_answer
from ...routing.upstream_reach import is_proved_since, record_not_opened, record_opened
from .reaching import reaches_others

if TYPE_CHECKING:
    from anyio.abc import ByteStream, SocketStream

    from ...http1 import UpstreamConnection
    from .state import GatewayState

logger = logging.getLogger(__name__)


async def serve_relayed(state: GatewayState, stream: SocketStream) -> None:
    """Serve one connection of another entry box until either side ends.

    Args:
        state: State of the process.
        stream: The accepted connection.
    """
    try:
        async with stream:
            await _serve_connection(state, stream)
    except* LINK_ERRORS as errors:
        logger.info("relayed connection failed", extra={"reason": describe_error(errors)})


async def _serve_connection(state: GatewayState, stream: SocketStream) -> None:
    """Serve one connection of another box: its handshake, its request and the bytes."""
    assert state.peers is not None
    link = await accept_handshake(stream, state.peers.identity)
    request = await link.receive()
    peer = link.peer
    if not isinstance(request, RelayRequest) or peer is None or peer.role is not PeerRole.ENTRY:
        logger.warning("message of the wrong kind", extra={"peer": link.peer_box})
        return
    outcome, connection = await _connect(state, request)
    if connection is None:
        state.metrics.counters[f"relay-{outcome.value}"] += 1
        await stream.send(encode_frame(RelayReply(outcome=outcome)))
        return
    state.relays_open += 1
    started_at = anyio.current_time()
    end = "broken"
    try:
        await stream.send(encode_frame(RelayReply(outcome=outcome)))
        end = await _copy_both(stream, connection.stream)
    finally:
        state.relays_open -= 1
        await connection.close()
        if request.request:
            state.metrics.counters["relay-served"] += 1
            logger.info(
                "connection relayed",
                extra={
                    "request": request.request,
                    "peer": link.peer_box,
                    "upstream": request.instance,
                    "end": end,
                    "seconds": round(anyio.current_time() - started_at, 3),
                },
            )


async def _connect(
    state: GatewayState, request: RelayRequest
) -> tuple[RelayOutcome, UpstreamConnection | None]:
    """Connect to the upstream of a request, or say why not."""
    upstream = state.table.upstreams.get(request.instance)
    if state.stopping:
        return RelayOutcome.STOPPING, None
    if upstream is None or upstream.registration.address != request.address:
        return RelayOutcome.NOT_REGISTERED, None
    if state.reach.is_cut:
        return RelayOutcome.CUT, None
    if state.relays_open >= state.settings.gateway.relayed_connections:
        return RelayOutcome.FULL, None
    started_at = anyio.current_time()
    try:
        connection = await connect(
            request.address, source=state.settings.box.address, seconds=request.seconds
        )
    except ConnectError as error:
        record_not_opened(state.reach)
        proved = is_proved_since(state.reach, started_at)
        if not proved and await reaches_others(state, {request.address}) is False:
            return RelayOutcome.CUT, None
        return (RelayOutcome.REFUSED if error.is_refusal else RelayOutcome.UNREACHABLE), None
    record_opened(state.reach, started_at, anyio.current_time())
    return RelayOutcome.OPEN, connection


async def _copy_both(caller: SocketStream, upstream: ByteStream) -> str:
    """Copy a request to the upstream and frames of the answer back, until either side ends.

    Returns:
        Which side ended, for the log.
    """
    end = "answered"
    try:
        # Answers are not read before the request begins, so that no frame can follow the reply.
        await upstream.send(await caller.receive(READ_BYTES))
    except anyio.EndOfStream:
        return "not used"
    async with anyio.create_task_group() as tasks:

        async def copy_request() -> None:
            nonlocal end
            try:
                while True:
                    await upstream.send(await caller.receive(READ_BYTES))
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                end = "closed by the asking box"
                tasks.cancel_scope.cancel()

        tasks.start_soon(copy_request)
        try:
            while True:
                await caller.send(frame_answer(await upstream.receive(READ_BYTES)))
        except anyio.EndOfStream:
            await caller.send(END_FRAME)
        except (OSError, anyio.BrokenResourceError):
            end = "broken"
        tasks.cancel_scope.cancel()
    return end
