"""Framing of messages on a byte stream: a length prefix, then one msgpack value.

Long messages are compressed. Most traffic consists of registrations, which are largely identical
within a pool.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

import msgspec

from ..model import MALFORMED_ERRORS, Problem, ProblemError, ResultCode
from .messages import LinkMessage

LENGTH_PREFIX: Final = struct.Struct(">I")

HANDSHAKE_FRAME_LIMIT_BYTES: Final = 4096
"""Longest frame before the peer is authenticated."""

FRAME_LIMIT_BYTES: Final = 64 * 1024 * 1024
"""Longest frame of an authenticated peer; a snapshot is sent in a single frame."""

COMPRESSION_MIN_BYTES: Final = 512
"""Shortest message that is compressed; shorter ones would hardly shrink."""

COMPRESSION_LEVEL: Final = 1
"""Compression level of zlib: the fastest. The highest saves a tenth more bytes and takes several
times as long."""

COMPRESSED_FLAG: Final = 1 << 31
"""Bit of the length prefix that marks a compressed message; valid lengths are below it."""

_DECODER: Final = msgspec.msgpack.Decoder(LinkMessage)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode_frame(message: LinkMessage) -> bytes:
    """Encode a message with its length prefix.

    A long message is compressed unless that saves nothing, as with documents, which are compressed
    already.
    """
    payload = _ENCODER.encode(message)
    if len(payload) >= COMPRESSION_MIN_BYTES:
        compressed = zlib.compress(payload, COMPRESSION_LEVEL)
        if len(compressed) < len(payload):
            return LENGTH_PREFIX.pack(len(compressed) | COMPRESSED_FLAG) + compressed
    return LENGTH_PREFIX.pack(len(payload)) + payload


class FrameBuffer(msgspec.Struct, kw_only=True):
    """Decoder of frames from received bytes."""

    limit: int = HANDSHAKE_FRAME_LIMIT_BYTES
    """Longest accepted frame in bytes, compressed or not."""

    pending: bytearray = msgspec.field(default_factory=bytearray)
    """Bytes of the frame that is not complete yet."""

    def feed(self, data: bytes) -> list[LinkMessage]:
        """Add received bytes and return the messages that they complete.

        Args:
            data: Bytes from the stream.

        Returns:
            Complete messages in order.

        Raises:
            ProblemError: With code FRAME_INVALID if a frame is too long or does not decode.
        """
        self.pending += data
        messages: list[LinkMessage] = []
        while len(self.pending) >= LENGTH_PREFIX.size:
            (prefix,) = LENGTH_PREFIX.unpack_from(self.pending)
            length = prefix & ~COMPRESSED_FLAG
            if length > self.limit:
                raise _invalid(f"frame of {length} bytes exceeds {self.limit}")
            end = LENGTH_PREFIX.size + length
            if len(self.pending) < end:
                break
            payload = bytes(self.pending[LENGTH_PREFIX.size : end])
            del self.pending[:end]
            if prefix & COMPRESSED_FLAG:
                payload = _decompress(payload, self.limit)
            messages.append(decode_payload(payload))
        return messages


def _decompress(data: bytes, limit: int) -> bytes:
    """Decompress a message, using no more memory than a limit.

    Raises:
        ProblemError: With code FRAME_INVALID if the message is longer than the limit or invalid.
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
        payload: Decompressed frame without its length prefix.

    Returns:
        The message.

    Raises:
        ProblemError: With code FRAME_INVALID.
    """
    try:
        return _DECODER.decode(payload)
    except MALFORMED_ERRORS as error:
        raise _invalid(str(error)) from error


def _invalid(detail: str) -> ProblemError:
    return ProblemError(Problem(code=ResultCode.FRAME_INVALID, detail=detail))
