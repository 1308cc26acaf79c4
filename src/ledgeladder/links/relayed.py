"""Streams that another box relays: answers in frames, so that a lost relay ends none of them.

An answer may end with its connection. Its end is therefore a frame of its own: a connection that
closes without one is broken, whether the upstream, the relay or the link failed.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any, Final

import anyio
from anyio.abc import ByteStream

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from anyio.abc import SocketStream

FRAME_PREFIX: Final = struct.Struct(">I")
"""Length of the bytes that follow."""

END_FRAME: Final = FRAME_PREFIX.pack(0)
"""End of the answer: the upstream closed its connection in order."""

READ_BYTES: Final = 65536
"""Maximum size of a single read."""


def frame_answer(data: bytes) -> bytes:
    """Return bytes of an answer as a frame."""
    return FRAME_PREFIX.pack(len(data)) + data


class RelayedStream(ByteStream):
    """The asking side of a relayed connection, as if it were a connection to the upstream."""

    def __init__(self, *, stream: SocketStream) -> None:
        self.stream = stream
        """Connection to the box that relays."""

        self.buffer = bytearray()
        """Received bytes that are not returned yet."""

        self.frame_bytes = 0
        """Bytes of the current frame that are not returned yet."""

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the next bytes of the answer.

        Raises:
            anyio.EndOfStream: If the upstream closed its connection in order.
            anyio.BrokenResourceError: If the relayed connection ended in any other way.
        """
        while not self.frame_bytes:
            if len(self.buffer) < FRAME_PREFIX.size:
                await self._fill()
                continue
            (self.frame_bytes,) = FRAME_PREFIX.unpack_from(self.buffer)
            del self.buffer[: FRAME_PREFIX.size]
            if not self.frame_bytes:
                raise anyio.EndOfStream
        if not self.buffer:
            await self._fill()
        data = bytes(self.buffer[: min(max_bytes, self.frame_bytes)])
        del self.buffer[: len(data)]
        self.frame_bytes -= len(data)
        return data

    async def _fill(self) -> None:
        try:
            self.buffer += await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream as error:
            raise anyio.BrokenResourceError from error

    async def send(self, item: bytes) -> None:
        """Send bytes of a request, which need no frames since they state their length."""
        await self.stream.send(item)

    async def send_eof(self) -> None:
        """Close the sending side, which the relay takes for the end of the connection."""
        await self.stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection; the relay closes the one to the upstream."""
        await self.stream.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the connection to the relay."""
        return self.stream.extra_attributes
