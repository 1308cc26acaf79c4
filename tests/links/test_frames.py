"""Frames: what is sent comes back, whatever the pieces; bad ones take no memory freely."""

from __future__ import annotations

import random
import zlib

import pytest

from ledgeladder.links.frames import (
    COMPRESS_FROM,
    COMPRESSED,
    LENGTH,
    FrameBuffer,
    encode_frame,
)
from ledgeladder.links.messages import DocumentPush, LinkMessage, RegistrationUpdate, VersionQuery
from ledgeladder.model import ProblemError
from ledgeladder.model.registration import Holding, Liveness, Registration

UPSTREAMS = 60
"""Registrations in one frame: those of 50 ms while 3,000 upstreams register."""


def news(count: int) -> RegistrationUpdate:
    rng = random.Random(count)
    told = [
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
    return RegistrationUpdate(reported=tuple(told))


def compressed(payload: bytes, *, extra: bytes = b"") -> bytes:
    data = zlib.compress(payload) + extra
    return LENGTH.pack(len(data) | COMPRESSED) + data


@pytest.mark.parametrize("seed", range(10))
def test_messages_come_back_in_order_whatever_the_pieces(seed: int) -> None:
    rng = random.Random(seed)
    sent: list[LinkMessage] = [
        rng.choice(
            [
                VersionQuery(call=number),
                news(rng.randrange(80)),
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


def test_news_of_upstreams_that_register_together_is_a_third() -> None:
    """The load: each of 300 boxes is told 3,000 registrations by each of three control boxes."""
    one = len(encode_frame(news(1)))
    assert one < COMPRESS_FROM
    assert len(encode_frame(news(UPSTREAMS))) < UPSTREAMS * one / 2


def test_what_does_not_shrink_is_sent_as_it_is() -> None:
    body = random.Random(1).randbytes(5000)
    frame = encode_frame(DocumentPush(version=1, body=body))
    assert body in frame


@pytest.mark.parametrize(
    "frame",
    [
        compressed(b"\x00" * 1_000_000),
        compressed(b"\xc0", extra=b"more"),
        LENGTH.pack(5 | COMPRESSED) + b"wrong",
        LENGTH.pack(4 | COMPRESSED) + zlib.compress(b"cut off here")[:4],
    ],
)
def test_bad_compressed_frames_are_refused_within_the_limit(frame: bytes) -> None:
    """A frame of a kilobyte may hold a gigabyte: it is refused at the limit of the buffer."""
    with pytest.raises(ProblemError, match="FRAME_INVALID"):
        FrameBuffer(limit=4096).feed(frame)
