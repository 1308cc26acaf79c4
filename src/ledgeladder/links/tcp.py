"""TCP connections and listeners by IP address, without name resolution.

Library calls that accept host names resolve every address in a thread pool. All addresses of the
system are IP addresses; skipping the resolver saves CPU time and keeps daemons single-threaded.
"""

from __future__ import annotations

import errno
import os
import socket
from typing import Final

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketListener, SocketStream

BACKLOG: Final = 65536
"""Length of the accept queue; the kernel caps it. If the queue is full, SYN packets are dropped and
retransmitted only after a second."""

MAX_CLOSE_CHECKS: Final = 3
"""Number of connections that `is_port_closed` tries, since a process may just be exiting."""

CLOSE_TIMEOUT_SECONDS: Final = 0.01
"""How long an exiting process may take to close all of its sockets. Checking a live upstream takes
this whole time."""

USER_TIMEOUT_MILLISECONDS: Final = 3000
"""How long sent bytes may stay unacknowledged before the connection is closed. The platform allows
an isolated box 3 s and one retransmission to detect it."""

KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 3
"""Number of unanswered probes after which an idle connection is closed. Where TCP_USER_TIMEOUT is
supported, it overrides this number (tcp(7)), and a connection to a machine without power ends by
that time."""

RECEIVE_BUFFER_BYTES: Final = 128 * 1024
"""Receive buffer of a connection. The event loop reads a connection up to 32 times in one pass,
256 KiB each time, for as long as each read is full; a smaller buffer does not fill one."""


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`.

    >>> split_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


async def listen_tcp(address: str) -> SocketListener:
    """Listen for connections.

    Args:
        address: `host:port` to listen on, by IP address.

    Returns:
        The listener.

    Raises:
        OSError: If listening on the address fails.
    """
    raw = bind_tcp(address)
    try:
        return await SocketListener.from_socket(raw)
    except BaseException:
        raw.close()
        raise


def bind_tcp(address: str, receive_buffer_bytes: int | None = None) -> socket.socket:
    """Return a listening socket.

    Args:
        address: `host:port` to listen on, by IP address.
        receive_buffer_bytes: Receive buffer of the accepted connections; None for the usual one.

    Raises:
        OSError: If listening on the address fails; the error names it.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer_bytes is not None:
            # Accepted connections inherit it.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        raw.bind(split_address(address))
        raw.listen(BACKLOG)
    except OSError as error:
        raw.close()
        raise OSError(error.errno, f"cannot listen on {address}: {error.strerror}") from error
    return raw


async def connect_tcp(
    address: str, source: str | None = None, *, tuned: bool = False
) -> SocketStream:
    """Open a connection, without a timeout of its own.

    Args:
        address: `host:port` of the peer, by IP address.
        source: Source IP address; None lets the system choose.
        tuned: True to set the timeouts of `tune_socket`.

    Returns:
        The connection.

    Raises:
        OSError: If the connection cannot be opened.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        if source is not None:
            raw.bind((source, 0))
        await _finish_connecting(raw, split_address(address))
        if tuned:
            tune_socket(raw)
        return await wrap_socket(raw)
    except BaseException:
        raw.close()
        raise


async def wrap_socket(raw: socket.socket) -> SocketStream:
    """Return the stream over a connected socket, which is read only as far as it is received.

    Args:
        raw: The socket; the caller closes it if this fails.

    Raises:
        OSError: If the connection has failed.
    """
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        stream = await SocketStream.from_socket(raw)
    except ValueError as error:
        # Raised for a socket that is no longer connected.
        raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN)) from error
    # Unlike connections that anyio opens, wrapped ones start out reading, and go on without a bound
    # for as long as bytes are there whenever the receiver looks.
    try:
        stream._transport.pause_reading()  # type: ignore[attr-defined]
    except RuntimeError as error:
        # Raised for a transport that has closed its socket meanwhile.
        raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN)) from error
    return stream


def socket_of(stream: ByteStream) -> socket.socket | None:
    """Return the socket of a connection, or None once the connection has failed.

    Args:
        stream: A connection over TCP.
    """
    try:
        raw: socket.socket = stream.extra(SocketAttribute.raw_socket)
    except AttributeError:
        # anyio asks the transport, which has closed its socket.
        return None
    return raw if raw.fileno() >= 0 else None


async def _finish_connecting(raw: socket.socket, peer: tuple[str, int]) -> None:
    code = raw.connect_ex(peer)
    if code == errno.EINPROGRESS:
        await anyio.wait_writable(raw)
        code = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, f"{os.strerror(code)}: {peer[0]}:{peer[1]}")


def tune_socket(raw: socket.socket) -> None:
    """Set timeouts on a connection, so that an unreachable peer does not keep it open for minutes.

    Args:
        raw: Socket of the connection.

    Raises:
        OSError: If the connection has failed.
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def is_port_closed(address: str, source: str | None, *, seconds: float) -> bool:
    """Return True if connections to an address are refused, as after the exit of its process.

    An exiting process closes its sockets one by one and may still accept a connection after closing
    another. A connection that is closed at once is therefore tried again. A timeout counts as
    False, since a network partition looks the same.

    Args:
        address: `host:port`, by IP address.
        source: Source IP address; None lets the system choose.
        seconds: Timeout for opening each connection.
    """
    for _ in range(MAX_CLOSE_CHECKS):
        try:
            with anyio.fail_after(seconds):
                stream = await connect_tcp(address, source)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        async with stream:
            if not await _is_closed_soon(stream):
                return False
    return False


async def _is_closed_soon(stream: SocketStream) -> bool:
    """Return True if the peer closes an unused connection within `CLOSE_TIMEOUT_SECONDS`."""
    with anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
        try:
            await stream.receive(1)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True
    return False
