"""Framing of checksummed records, used by the journal and the snapshot."""

from __future__ import annotations

import struct
import zlib
from enum import StrEnum
from typing import Final

import msgspec

HEADER: Final = struct.Struct(">II")
"""Length of the payload and its CRC-32."""

MAX_PAYLOAD_BYTES: Final = 256 * 1024 * 1024
"""Maximum payload length; a longer one is treated as corrupt."""


class Tail(StrEnum):
    """How a sequence of records ends."""

    CLEAN = "clean"
    """Directly after a complete record."""

    TORN = "torn"
    """With an incomplete last record."""

    CORRUPT = "corrupt"
    """With a damaged record that other data follows, or with an excessive length."""


class RecordScan(msgspec.Struct, frozen=True, kw_only=True):
    """Result of scanning a sequence of records."""

    payloads: list[bytes]
    """Payloads of the valid records, in order."""

    valid_length: int
    """Offset of the end of the last valid record, in bytes."""

    tail: Tail
    """State of the data after it."""


def frame_record(payload: bytes) -> bytes:
    """Return a payload with its length and checksum prepended."""
    return HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def scan_records(content: bytes, start: int) -> RecordScan:
    r"""Read records up to the end or to the first invalid one.

    A crash may truncate the last write, leave zeros where the file grew before its data was
    written, or leave a write of full length with missing blocks. All of these are a torn tail. Each
    record is one synced write, and a write starts only after the previous sync returned. An invalid
    last record was therefore never acknowledged, whereas an invalid record that another one follows
    was synced and is corrupt.

    Args:
        content: Content of the whole file.
        start: Offset of the first record, in bytes.

    Returns:
        The valid records and the state of the tail.

    >>> scan_records(frame_record(b"abc") + b"\x00", 0).tail.value
    'torn'
    """
    payloads: list[bytes] = []
    offset = start
    while offset < len(content):
        remaining = len(content) - offset
        if remaining < HEADER.size or not any(content[offset : offset + HEADER.size]):
            zeros = not any(content[offset:])
            tail = Tail.TORN if remaining < HEADER.size or zeros else Tail.CORRUPT
            return RecordScan(payloads=payloads, valid_length=offset, tail=tail)
        length, checksum = HEADER.unpack_from(content, offset)
        payload = content[offset + HEADER.size : offset + HEADER.size + length]
        if length > MAX_PAYLOAD_BYTES:
            return RecordScan(payloads=payloads, valid_length=offset, tail=Tail.CORRUPT)
        if len(payload) < length:
            return RecordScan(payloads=payloads, valid_length=offset, tail=Tail.TORN)
        if zlib.crc32(payload) != checksum:
            is_last = offset + HEADER.size + length == len(content)
            tail = Tail.TORN if is_last else Tail.CORRUPT
            return RecordScan(payloads=payloads, valid_length=offset, tail=tail)
        payloads.append(payload)
        offset += HEADER.size + length
    return RecordScan(payloads=payloads, valid_length=offset, tail=Tail.CLEAN)
