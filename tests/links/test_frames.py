"""Frames: round trips through split reads, compression, and bounded memory for invalid frames."""

from __future__ import annotations

import random
import zlib

import pytest

from ledgeladder.links.frames import (
    COMPRESSED_FLAG,
    COMPRESSION_MIN_BYTES,
    LENGTH_PREFIX,
    FrameBuffer,
    encode_frame,
)
from ledgeladder.links.messages import DocumentPush, LinkMessage, RegistrationUpdate, VersionQuery
from ledgeladder.model import ProblemError
from ledgeladder.model.registration import Holding, Liveness, Registration

UPSTREAMS = 60
"""Registrations in one frame while many upstreams register."""


def registration_update(count: int) -> RegistrationUpdate:
    rng = random.Random(count)
    reported = [
        Liveness(
            registration=Registration(
                instance=f"i-{rng.getrandbits(40):010x}",
                sequence=1,
                pool="captions",
                address=f"10.1.{rng.randrange(250)}.{rng.randrange(250)}:8{number:03}",
                failure_domain="kochi-a",
                slots=96,
                card="l4",
                holdings=(Holding(first=number, end=number + 10),),
            ),
            age=rng.random(),
        )
        for number in range(count)
    ]
    return RegistrationUpdate(reported=tuple(reported))


def compressed(payload: bytes, *, extra: bytes = b"") -> bytes:
    data = zlib.compress(payload) + extra
    return LENGTH_PREFIX.pack(len(data) | COMPRESSED_FLAG) + data


@pytest.mark.parametrize("seed", range(10))
def test_messages_are_decoded_in_order_from_split_reads(seed: int) -> None:
    rng = random.Random(seed)
    sent: list[LinkMessage] = [
        rng.choice(
            [
                VersionQuery(call=number),
                registration_update(rng.randrange(80)),
                DocumentPush(version=1, body=rng.randbytes(900)),
            ]
        )
        for number in range(30)
    ]
    data = b"".join(map(encode_frame, sent))
    buffer = FrameBuffer(limit=100_000)
    received: list[LinkMessage] = []
    while data:
        size = rng.randrange(1, 3000)
        received += buffer.feed(data[:size])
        data = data[size:]
    assert received == sent


def test_registrations_in_one_frame_compress_to_less_than_half() -> None:
    """Uncompressed registrations would dominate the traffic from control boxes."""
    one = len(encode_frame(registration_update(1)))
    assert one < COMPRESSION_MIN_BYTES
    assert len(encode_frame(registration_update(UPSTREAMS))) < UPSTREAMS * one / 2


def test_incompressible_message_is_sent_uncompressed() -> None:
    body = random.Random(1).randbytes(5000)
    frame = encode_frame(DocumentPush(version=1, body=body))
    assert body in frame


@pytest.mark.parametrize(
    "frame",
    [
        compressed(b"\x00" * 1_000_000),
        compressed(b"\xc0", extra=b"more"),
        LENGTH_PREFIX.pack(5 | COMPRESSED_FLAG) + b"wrong",
        LENGTH_PREFIX.pack(4 | COMPRESSED_FLAG) + zlib.compress(b"cut off here")[:4],
    ],
)
def test_invalid_compressed_frames_are_rejected_within_the_limit(frame: bytes) -> None:
    """A small frame may decompress to gigabytes; it is rejected at the limit of the buffer."""
    with pytest.raises(ProblemError, match="FRAME_INVALID"):
        FrameBuffer(limit=4096).feed(frame)
