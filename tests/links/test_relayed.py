"""Frames of relayed answers, whose end differs from the loss of the relay."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import pytest

from ledgeladder.links.relayed import END_FRAME, RelayedStream, frame_answer


class Chunks:
    """A stream that returns prepared chunks and then ends."""

    extra_attributes: Mapping[Any, Callable[[], Any]] = {}

    def __init__(self, *chunks: bytes) -> None:
        self.chunks = list(chunks)

    async def receive(self, max_bytes: int) -> bytes:
        if not self.chunks:
            raise anyio.EndOfStream
        return self.chunks.pop(0)


async def read_all(stream: RelayedStream) -> tuple[bytes, type[Exception]]:
    data = b""
    while True:
        try:
            data += await stream.receive(7)
        except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
            return data, type(error)


def relayed(*chunks: bytes) -> tuple[bytes, type[Exception]]:
    stream: Any = Chunks(*chunks)
    return anyio.run(read_all, RelayedStream(stream=stream))


@pytest.mark.parametrize("seed", range(20))
def test_answer_is_whole_however_its_frames_are_split(seed: int) -> None:
    rng = random.Random(seed)
    parts = [rng.randbytes(rng.randint(1, 40)) for _ in range(10)]
    encoded = b"".join(map(frame_answer, parts)) + END_FRAME
    chunks = []
    while encoded:
        size = rng.randint(1, 30)
        chunks.append(encoded[:size])
        encoded = encoded[size:]
    assert relayed(*chunks) == (b"".join(parts), anyio.EndOfStream)


@pytest.mark.parametrize("lost", [1, 3, 4, 6, 9])
def test_connection_that_closes_without_an_end_frame_is_broken(lost: int) -> None:
    """An answer without a length would otherwise look complete when its relay is killed."""
    encoded = frame_answer(b"hello") + END_FRAME
    data, error = relayed(encoded[:-lost])
    assert b"hello".startswith(data)
    assert error is anyio.BrokenResourceError
