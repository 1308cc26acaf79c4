"""Opens connections to upstreams through other entry boxes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import wrap_stream
from ...links import connect_tcp, initiate_handshake
from ...links.endpoint import LINK_ERRORS
from ...links.frames import encode_frame
from ...links.messages import RelayOutcome, RelayReply, RelayRequest
from ...links.relayed import RelayedStream
from ...routing.upstream_reach import (
    RELAY_CUT_AVOID_SECONDS,
    RELAY_FULL_AVOID_SECONDS,
    RELAY_UNREACHABLE_AVOID_SECONDS,
    avoid_relay_peer,
    choose_relay_peers,
)
from .reaching import NoRelayError, RelayedConnectError

if TYPE_CHECKING:
    from ...http1 import UpstreamConnection
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

MAX_ASKED_PEERS: Final = 6
"""Boxes that are asked for one connection, one after the other. Those that cannot relay say so at
once, and are left out of the next choices."""

HANDSHAKE_SECONDS: Final = 0.25
"""Time for connecting to a box and for the handshake, in addition to its own connection."""

AVOID_SECONDS: Final = {
    RelayOutcome.CUT: RELAY_CUT_AVOID_SECONDS,
    RelayOutcome.FULL: RELAY_FULL_AVOID_SECONDS,
    RelayOutcome.STOPPING: RELAY_UNREACHABLE_AVOID_SECONDS,
}
"""How long a box is not asked again, by its reason for relaying nothing."""


async def connect_by_relay(
    state: GatewayState, upstream: ForwardedUpstream, *, seconds: float, request: str = ""
) -> UpstreamConnection:
    """Open a connection to an upstream through another entry box.

    Args:
        state: State of the process.
        upstream: The upstream.
        seconds: Timeout for the connection between the other box and the upstream.
        request: Id of the caller's attempt, for the logs; empty for a check of reachability.

    Returns:
        The connection.

    Raises:
        NoRelayError: If no box could tell whether the upstream can be reached.
        RelayedConnectError: If a box that reaches other upstreams does not reach this one.
    """
    address = upstream.registration.address
    now = anyio.current_time()
    for peer in choose_relay_peers(state.relay_peers, MAX_ASKED_PEERS, now, state.rng):
        outcome, connection = await ask_relay(
            state, peer, upstream, seconds=seconds, request=request
        )
        if connection is not None:
            state.reach.relayed += 1
            return connection
        if outcome is RelayOutcome.REFUSED:
            raise RelayedConnectError(
                f"{address}: refused, by {peer}"
            ) from ConnectionRefusedError()
        if outcome is RelayOutcome.UNREACHABLE:
            raise RelayedConnectError(f"{address}: unreachable, by {peer}") from TimeoutError()
    raise NoRelayError(f"{address}: no box relays")


async def ask_relay(
    state: GatewayState,
    peer: str,
    upstream: ForwardedUpstream,
    *,
    seconds: float,
    request: str = "",
) -> tuple[RelayOutcome | None, UpstreamConnection | None]:
    """Ask one box to relay a connection, and leave it out for a while if it relays none.

    Args:
        state: State of the process.
        peer: IP address of the box.
        upstream: The upstream.
        seconds: Timeout for the connection between the box and the upstream.
        request: Id of the caller's attempt; empty for a check of reachability.

    Returns:
        The outcome, None if the box did not answer; and the connection if it is open.
    """
    outcome: RelayOutcome | None = None
    try:
        with anyio.fail_after(seconds + HANDSHAKE_SECONDS):
            outcome, connection = await _request_relay(state, peer, upstream, seconds, request)
    except LINK_ERRORS as error:
        connection = None
        logger.info(
            "box does not relay",
            extra={"peer": peer, "request": request, "reason": type(error).__name__},
        )
    if connection is None and outcome not in (RelayOutcome.REFUSED, RelayOutcome.UNREACHABLE):
        avoided = (
            RELAY_UNREACHABLE_AVOID_SECONDS if outcome is None else AVOID_SECONDS.get(outcome, 0.0)
        )
        avoid_relay_peer(state.relay_peers, peer, avoided, anyio.current_time())
    return outcome, connection


async def _request_relay(
    state: GatewayState,
    peer: str,
    upstream: ForwardedUpstream,
    seconds: float,
    request: str,
) -> tuple[RelayOutcome, UpstreamConnection | None]:
    """Connect to a box, ask it, and return its outcome with the connection if it is open."""
    assert state.peers is not None
    registration = upstream.registration
    port = state.settings.cluster.relay_port
    stream = await connect_tcp(f"{peer}:{port}", state.settings.box.address, tuned=True)
    try:
        link = await initiate_handshake(stream, state.peers.identity)
        await stream.send(
            encode_frame(
                RelayRequest(
                    instance=registration.instance,
                    address=registration.address,
                    seconds=seconds,
                    request=request,
                )
            )
        )
        reply = await link.receive()
        outcome = reply.outcome if isinstance(reply, RelayReply) else RelayOutcome.STOPPING
    except BaseException:
        with anyio.CancelScope(shield=True):
            await stream.aclose()
        raise
    if outcome is not RelayOutcome.OPEN:
        await stream.aclose()
        return outcome, None
    return outcome, wrap_stream(registration.address, RelayedStream(stream=stream), peer)
