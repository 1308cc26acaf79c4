"""One authenticated connection between two processes of the system."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections import deque
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ..model import Problem, ProblemError, ResultCode
from .frames import FRAME_LIMIT, FrameBuffer, encode_frame
from .messages import Challenge, Hello, PeerRole, Welcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import ByteStream

    from .messages import LinkMessage

NONCE_BYTES: Final = 16
HANDSHAKE_SECONDS: Final = 3.0
READ_BYTES: Final = 65536
OUTBOX_LIMIT: Final = 128 * 1024 * 1024
"""Unsent bytes after which a peer that does not read is given up."""


class LinkIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """How a process presents itself on its links."""

    cluster: str
    """Name of the cluster; a peer of another cluster is refused."""

    role: PeerRole
    """What the process is."""

    box: str
    """Name of its box."""

    failure_domain: str
    """Failure domain of its box."""

    instance: str
    """Random name of this run."""

    secret: str
    """Secret shared by all processes of the cluster."""

    source_address: str | None = None
    """IP number that outgoing links come from, or None for the system's choice."""

    def __repr__(self) -> str:
        """Leave the secret out, so that no log line shows it."""
        return f"LinkIdentity(role={self.role}, box={self.box}, instance={self.instance})"


class Link(msgspec.Struct, kw_only=True):
    """A connection after the handshake.

    Sending never waits: messages are queued and `run_writer` writes whatever has gathered in one
    go. A peer that does not read costs its own connection and nothing else.
    """

    stream: ByteStream
    """The connection."""

    buffer: FrameBuffer
    """Bytes received and not yet decoded."""

    peer: Hello | None = None
    """What the connecting side said of itself; None on the connecting side."""

    peer_box: str = ""
    """Box at the other end."""

    received_at: float = float("-inf")
    """When bytes last came, on the monotonic clock."""

    received: deque[LinkMessage] = msgspec.field(default_factory=deque)
    """Messages decoded and not yet taken."""

    outbox: list[bytes] = msgspec.field(default_factory=list)
    """Frames to write."""

    outbox_bytes: int = 0
    """Length of those frames."""

    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when there is something to write or the link was closed."""

    closed: bool = False
    """True once nothing more will be written."""

    def post(self, message: LinkMessage) -> None:
        """Queue a message; dropped if the link is closed.

        Args:
            message: The message.
        """
        if not self.closed:
            self.post_frame(encode_frame(message))

    def post_frame(self, frame: bytes) -> None:
        """Queue a message that was encoded already; dropped if the link is closed.

        Args:
            frame: The frame, as `encode_frame` returns it.
        """
        if self.closed:
            return
        self.outbox.append(frame)
        self.outbox_bytes += len(frame)
        if self.outbox_bytes > OUTBOX_LIMIT:
            self.closed = True
        self.wake.set()

    async def run_writer(self) -> None:
        """Write queued frames until the link is closed."""
        while not self.closed:
            await self.wake.wait()
            self.wake = anyio.Event()
            data = b"".join(self.outbox)
            self.outbox.clear()
            self.outbox_bytes = 0
            if data and not self.closed:
                await self.stream.send(data)

    async def receive(self) -> LinkMessage:
        """Wait for the next message.

        Returns:
            The message.

        Raises:
            ProblemError: If the peer sent something that is no message.
            anyio.EndOfStream: If the peer closed the connection.
        """
        while not self.received:
            data = await self.stream.receive(READ_BYTES)
            self.received_at = anyio.current_time()
            self.received.extend(self.buffer.feed(data))
        return self.received.popleft()

    def close(self) -> None:
        """Stop writing; the owner of the stream closes it."""
        self.closed = True
        self.wake.set()


def post_to_all(links: Iterable[Link], message: LinkMessage) -> None:
    """Queue one message on several links; it is encoded once.

    Args:
        links: The links.
        message: The message.
    """
    frame = encode_frame(message)
    for link in links:
        link.post_frame(frame)


def _proof(secret: str, side: bytes, own: bytes, other: bytes, statement: bytes) -> bytes:
    content = b"|".join((side, own.hex().encode(), other.hex().encode(), statement))
    return hmac.new(secret.encode(), content, hashlib.sha256).digest()


def _statement(cluster: str, role: PeerRole, box: str, failure_domain: str, instance: str) -> bytes:
    return "\0".join((cluster, role.value, box, failure_domain, instance)).encode()


def _untrusted(detail: str) -> ProblemError:
    return ProblemError(Problem(code=ResultCode.PEER_UNTRUSTED, detail=detail))


async def _receive_one(link: Link) -> LinkMessage:
    message = await link.receive()
    if link.received:
        raise _untrusted("more than one frame before the handshake was complete")
    return message


async def accept(stream: ByteStream, identity: LinkIdentity) -> Link:
    """Take the accepting side of the handshake.

    Args:
        stream: A new connection.
        identity: Who accepts.

    Returns:
        The link, with the peer's hello.

    Raises:
        ProblemError: If the peer does not prove itself.
        TimeoutError: If it takes too long.
    """
    link = Link(stream=stream, buffer=FrameBuffer())
    with anyio.fail_after(HANDSHAKE_SECONDS):
        challenge = Challenge(nonce=secrets.token_bytes(NONCE_BYTES))
        await stream.send(encode_frame(challenge))
        hello = await _receive_one(link)
        if not isinstance(hello, Hello) or hello.cluster != identity.cluster:
            raise _untrusted("no hello of this cluster")
        statement = _statement(
            hello.cluster, hello.role, hello.box, hello.failure_domain, hello.instance
        )
        expected = _proof(identity.secret, b"connect", hello.nonce, challenge.nonce, statement)
        if not hmac.compare_digest(expected, hello.proof):
            raise _untrusted(f"{hello.box} does not hold the shared secret")
        proof = _proof(identity.secret, b"accept", challenge.nonce, hello.nonce, b"")
        await stream.send(encode_frame(Welcome(box=identity.box, proof=proof)))
    link.buffer.limit = FRAME_LIMIT
    link.peer = hello
    link.peer_box = hello.box
    return link


async def greet(stream: ByteStream, identity: LinkIdentity) -> Link:
    """Take the connecting side of the handshake.

    Args:
        stream: A new connection.
        identity: Who connects.

    Returns:
        The link.

    Raises:
        ProblemError: If the peer does not prove itself.
        TimeoutError: If it takes too long.
    """
    link = Link(stream=stream, buffer=FrameBuffer())
    with anyio.fail_after(HANDSHAKE_SECONDS):
        challenge = await _receive_one(link)
        if not isinstance(challenge, Challenge):
            raise _untrusted("no challenge")
        statement = _statement(
            identity.cluster,
            identity.role,
            identity.box,
            identity.failure_domain,
            identity.instance,
        )
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(
            cluster=identity.cluster,
            role=identity.role,
            box=identity.box,
            failure_domain=identity.failure_domain,
            instance=identity.instance,
            nonce=nonce,
            proof=_proof(identity.secret, b"connect", nonce, challenge.nonce, statement),
        )
        await stream.send(encode_frame(hello))
        # The accepting side may send more right behind its welcome, so this read is not strict.
        welcome = await link.receive()
        if not isinstance(welcome, Welcome):
            raise _untrusted("no welcome")
        expected = _proof(identity.secret, b"accept", challenge.nonce, nonce, b"")
        if not hmac.compare_digest(expected, welcome.proof):
            raise _untrusted(f"{welcome.box} does not hold the shared secret")
    link.buffer.limit = FRAME_LIMIT
    link.peer_box = welcome.box
    return link
