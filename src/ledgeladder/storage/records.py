"""Checksummed records: the framing that the journal and the snapshot share."""

from __future__ import annotations

import struct
import zlib
from enum import StrEnum
from typing import Final

import msgspec

HEADER: Final = struct.Struct(">II")
"""Length of the payload and its CRC-32."""

MAX_PAYLOAD_BYTES: Final = 256 * 1024 * 1024
"""Longest payload that is believed, in bytes."""


class Tail(StrEnum):
    """How a run of records ends."""

    CLEAN = "clean"
    """Right after a whole record."""

    TORN = "torn"
    """In the middle of the last record, or with one that was not written in full."""

    CORRUPT = "corrupt"
    """With a bad record that others follow, or with an absurd length."""


class RecordScan(msgspec.Struct, frozen=True, kw_only=True):
    """What was found in a run of records."""

    payloads: list[bytes]
    """Payloads of the good records, in order."""

    valid_length: int
    """Offset one past the last good record."""

    tail: Tail
    """What follows it."""


def frame_record(payload: bytes) -> bytes:
    """Put a length and a checksum before a payload."""
    return HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def scan_records(content: bytes, start: int) -> RecordScan:
    r"""Read records up to the end or to the first bad one.

    A crash can leave the last write short, or leave zeros where the file grew before its data was
    written, or leave a write of full length of which some blocks are missing; all are torn. One
    record is one synced write, so a bad last record was never promised to anybody: the next write
    starts only after the sync of the one before has returned. A bad record with another behind it
    was synced once and is corrupt.

    Args:
        content: The whole file.
        start: Offset of the first record.

    Returns:
        The records and the state of the tail.

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
