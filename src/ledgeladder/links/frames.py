"""Framing of messages on a byte stream: a length, then one msgpack value, compressed if it is long.

News of upstreams is what fills links: a registration takes 95 bytes, of which most are the same for
all of a pool. Compressed, news of 3,000 upstreams that register within seconds takes a third.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

import msgspec

from ..model import Problem, ProblemError, ResultCode
from .messages import LinkMessage

LENGTH: Final = struct.Struct(">I")

HANDSHAKE_LIMIT: Final = 4096
"""Longest frame before the peer has proved itself, in bytes."""

FRAME_LIMIT: Final = 64 * 1024 * 1024
"""Longest frame afterwards; a snapshot travels in one."""

COMPRESS_FROM: Final = 512
"""Shortest message that is compressed, in bytes: shorter ones are a few fields."""

COMPRESS_LEVEL: Final = 1
"""Level of zlib: the fastest. The highest saves a tenth more, and takes several times as long."""

COMPRESSED: Final = 1 << 31
"""Bit of the length that says that the message is compressed. Lengths stay far below it."""

_DECODER: Final = msgspec.msgpack.Decoder(LinkMessage)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode_frame(message: LinkMessage) -> bytes:
    """Encode a message with its length.

    A long one is compressed unless that saves nothing, as for documents, which are already.
    """
    payload = _ENCODER.encode(message)
    if len(payload) >= COMPRESS_FROM:
        compressed = zlib.compress(payload, COMPRESS_LEVEL)
        if len(compressed) < len(payload):
            return LENGTH.pack(len(compressed) | COMPRESSED) + compressed
    return LENGTH.pack(len(payload)) + payload


class FrameBuffer(msgspec.Struct, kw_only=True):
    """Bytes received and not yet decoded."""

    limit: int = HANDSHAKE_LIMIT
    """Longest frame that is accepted, in bytes."""

    pending: bytearray = msgspec.field(default_factory=bytearray)
    """Bytes of frames that are not complete."""

    def feed(self, data: bytes) -> list[LinkMessage]:
        """Take in bytes and return the messages that became complete.

        Args:
            data: Bytes from the stream.

        Returns:
            Complete messages in order.

        Raises:
            ProblemError: With code FRAME_INVALID if a frame is too long or does not decode.
        """
        self.pending += data
        messages: list[LinkMessage] = []
        while len(self.pending) >= LENGTH.size:
            (field,) = LENGTH.unpack_from(self.pending)
            length = field & ~COMPRESSED
            if length > self.limit:
                raise _invalid(f"frame of {length} bytes exceeds {self.limit}")
            end = LENGTH.size + length
            if len(self.pending) < end:
                break
            payload = bytes(self.pending[LENGTH.size : end])
            del self.pending[:end]
            if field & COMPRESSED:
                payload = _decompress(payload, self.limit)
            messages.append(decode_payload(payload))
        return messages


def _decompress(data: bytes, limit: int) -> bytes:
    """Decompress a message; one that grows beyond a limit is refused before it takes more memory.

    Raises:
        ProblemError: With code FRAME_INVALID.
    """
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(data, limit)
    except zlib.error as error:
        raise _invalid(str(error)) from error
    if not decompressor.eof or decompressor.unused_data:
        raise _invalid(f"compressed frame exceeds {limit} bytes, or does not end")
    return payload


def decode_payload(payload: bytes) -> LinkMessage:
    """Decode and validate one message.

    Args:
        payload: One frame without its length.

    Returns:
        The message.

    Raises:
        ProblemError: With code FRAME_INVALID.
    """
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _invalid(str(error)) from error


def _invalid(detail: str) -> ProblemError:
    return ProblemError(Problem(code=ResultCode.FRAME_INVALID, detail=detail))
