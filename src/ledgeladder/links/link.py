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
from .frames import FRAME_LIMIT_BYTES, FrameBuffer, encode_frame
from .messages import Challenge, Hello, PeerRole, Welcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import ByteStream

    from .messages import LinkMessage

NONCE_BYTES: Final = 16
HANDSHAKE_TIMEOUT_SECONDS: Final = 3.0
READ_SIZE_BYTES: Final = 65536
OUTBOX_LIMIT_BYTES: Final = 128 * 1024 * 1024
"""Number of queued bytes at which a link is closed because its peer does not read."""


class LinkIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a process in the handshakes of its links."""

    cluster: str
    """Name of the cluster; peers of other clusters are rejected."""

    role: PeerRole
    """Kind of the process."""

    box: str
    """Name of its box."""

    failure_domain: str
    """Failure domain of its box."""

    instance: str
    """Random name of this instance of the process."""

    secret: str
    """Secret shared by all processes of the cluster."""

    source_address: str | None = None
    """Source IP address of outgoing links; None lets the system choose."""

    def __repr__(self) -> str:
        """Omit the secret, to keep it out of logs."""
        return f"LinkIdentity(role={self.role}, box={self.box}, instance={self.instance})"


class Link(msgspec.Struct, kw_only=True):
    """A connection after the handshake.

    Sending never blocks: messages are queued, and `run_writer` writes all queued frames at once.
    A peer that does not read loses its own connection without delaying others.
    """

    stream: ByteStream
    """The connection."""

    buffer: FrameBuffer
    """Bytes received and not yet decoded."""

    peer: Hello | None = None
    """Hello of the connecting side; None on the connecting side itself."""

    peer_box: str = ""
    """Box at the other end."""

    received_at: float = float("-inf")
    """When bytes were last received, on the monotonic clock."""

    received: deque[LinkMessage] = msgspec.field(default_factory=deque)
    """Messages that are decoded and not yet returned by `receive`."""

    outbox: list[bytes] = msgspec.field(default_factory=list)
    """Frames to write."""

    outbox_bytes: int = 0
    """Total length of those frames."""

    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when frames are queued or the link is closed."""

    closed: bool = False
    """True once no more frames are written."""

    def post(self, message: LinkMessage) -> None:
        """Queue a message, or drop it if the link is closed.

        Args:
            message: The message.
        """
        if not self.closed:
            self.post_frame(encode_frame(message))

    def post_frame(self, frame: bytes) -> None:
        """Queue an encoded message, or drop it if the link is closed.

        Args:
            frame: The frame, as `encode_frame` returns it.
        """
        if self.closed:
            return
        self.outbox.append(frame)
        self.outbox_bytes += len(frame)
        if self.outbox_bytes > OUTBOX_LIMIT_BYTES:
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
            ProblemError: If the peer sent an invalid frame.
            anyio.EndOfStream: If the peer closed the connection.
        """
        while not self.received:
            data = await self.stream.receive(READ_SIZE_BYTES)
            self.received_at = anyio.current_time()
            self.received.extend(self.buffer.feed(data))
        return self.received.popleft()

    def close(self) -> None:
        """Stop writing; the owner of the stream closes the stream."""
        self.closed = True
        self.wake.set()


def post_to_all(links: Iterable[Link], message: LinkMessage) -> None:
    """Queue a message on several links, encoding it once.

    Args:
        links: The links.
        message: The message.
    """
    frame = encode_frame(message)
    for link in links:
        link.post_frame(frame)


def _compute_proof(
    secret: str, side: bytes, own: bytes, other: bytes, encoded_identity: bytes
) -> bytes:
    content = b"|".join((side, own.hex().encode(), other.hex().encode(), encoded_identity))
    return hmac.new(secret.encode(), content, hashlib.sha256).digest()


def _encode_identity(
    cluster: str, role: PeerRole, box: str, failure_domain: str, instance: str
) -> bytes:
    return "\0".join((cluster, role.value, box, failure_domain, instance)).encode()


def _untrusted(detail: str) -> ProblemError:
    return ProblemError(Problem(code=ResultCode.PEER_UNTRUSTED, detail=detail))


async def _receive_single(link: Link) -> LinkMessage:
    message = await link.receive()
    if link.received:
        raise _untrusted("more than one frame before the handshake was complete")
    return message


async def accept_handshake(stream: ByteStream, identity: LinkIdentity) -> Link:
    """Perform the accepting side of the handshake.

    Args:
        stream: A new connection.
        identity: Identity of the accepting process.

    Returns:
        The link, with the hello of the peer.

    Raises:
        ProblemError: If the peer fails authentication.
        TimeoutError: If the handshake exceeds `HANDSHAKE_TIMEOUT_SECONDS`.
    """
    link = Link(stream=stream, buffer=FrameBuffer())
    with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
        challenge = Challenge(nonce=secrets.token_bytes(NONCE_BYTES))
        await stream.send(encode_frame(challenge))
        hello = await _receive_single(link)
        if not isinstance(hello, Hello) or hello.cluster != identity.cluster:
            raise _untrusted("no hello of this cluster")
        encoded_identity = _encode_identity(
            hello.cluster, hello.role, hello.box, hello.failure_domain, hello.instance
        )
        expected = _compute_proof(
            identity.secret, b"connect", hello.nonce, challenge.nonce, encoded_identity
        )
        if not hmac.compare_digest(expected, hello.proof):
            raise _untrusted(f"{hello.box} does not hold the shared secret")
        proof = _compute_proof(identity.secret, b"accept", challenge.nonce, hello.nonce, b"")
        await stream.send(encode_frame(Welcome(box=identity.box, proof=proof)))
    link.buffer.limit = FRAME_LIMIT_BYTES
    link.peer = hello
    link.peer_box = hello.box
    return link


async def initiate_handshake(stream: ByteStream, identity: LinkIdentity) -> Link:
    """Perform the connecting side of the handshake.

    Args:
        stream: A new connection.
        identity: Identity of the connecting process.

    Returns:
        The link.

    Raises:
        ProblemError: If the peer fails authentication.
        TimeoutError: If the handshake exceeds `HANDSHAKE_TIMEOUT_SECONDS`.
    """
    link = Link(stream=stream, buffer=FrameBuffer())
    with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
        challenge = await _receive_single(link)
        if not isinstance(challenge, Challenge):
            raise _untrusted("no challenge")
        encoded_identity = _encode_identity(
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
            proof=_compute_proof(
                identity.secret, b"connect", nonce, challenge.nonce, encoded_identity
            ),
        )
        await stream.send(encode_frame(hello))
        # Further frames are allowed: the accepting side may send them directly after its welcome.
        welcome = await link.receive()
        if not isinstance(welcome, Welcome):
            raise _untrusted("no welcome")
        expected = _compute_proof(identity.secret, b"accept", challenge.nonce, nonce, b"")
        if not hmac.compare_digest(expected, welcome.proof):
            raise _untrusted(f"{welcome.box} does not hold the shared secret")
    link.buffer.limit = FRAME_LIMIT_BYTES
    link.peer_box = welcome.box
    return link
