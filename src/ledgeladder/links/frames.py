"""Framing of messages on a byte stream: a length, then one msgpack value."""

from __future__ import annotations

import struct
from typing import Final

import msgspec

from ..model import Problem, ProblemError, ResultCode
from .messages import LinkMessage

LENGTH: Final = struct.Struct(">I")

HANDSHAKE_LIMIT: Final = 4096
"""Longest frame before the peer has proved itself, in bytes."""

FRAME_LIMIT: Final = 64 * 1024 * 1024
"""Longest frame afterwards; a snapshot travels in one."""

_DECODER: Final = msgspec.msgpack.Decoder(LinkMessage)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode_frame(message: LinkMessage) -> bytes:
    """Encode a message with its length."""
    payload = _ENCODER.encode(message)
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
            (length,) = LENGTH.unpack_from(self.pending)
            if length > self.limit:
                raise _invalid(f"frame of {length} bytes exceeds {self.limit}")
            end = LENGTH.size + length
            if len(self.pending) < end:
                break
            payload = bytes(self.pending[LENGTH.size : end])
            del self.pending[:end]
            messages.append(decode_payload(payload))
        return messages


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
