"""Messages between stand-in engines and their connections."""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator

import anyio
import msgspec
from anyio.abc import ByteStream

from ledgeladder.upstreams.engine import ReceiptStage, RouteStage

LENGTH = struct.Struct(">I")


class Step(msgspec.Struct, frozen=True, kw_only=True, tag="step"):
    """Run one or more positions; `route` starts with the receiver."""

    session: str
    attempt: int
    head: str
    position: int
    values: tuple[int, ...]
    """Inputs of the positions up to and including `position`."""

    route: tuple[RouteStage, ...]
    receipt: tuple[ReceiptStage, ...]


class NeedInputs(msgspec.Struct, frozen=True, kw_only=True, tag="need"):
    """The receiver of a step lacks the positions from `first` on."""

    step: Step
    first: int


class StepDone(msgspec.Struct, frozen=True, kw_only=True, tag="done"):
    """The last stage tells the head what came out."""

    session: str
    attempt: int
    position: int
    value: int
    receipt: tuple[ReceiptStage, ...]


class StepFailed(msgspec.Struct, frozen=True, kw_only=True, tag="failed"):
    """A stage tells the head that the next one cannot be reached or refused."""

    session: str
    attempt: int
    upstream: str
    refused: bool = False
    leaving: bool = False


class Drop(msgspec.Struct, frozen=True, kw_only=True, tag="drop"):
    """The request has ended; `route` starts with the receiver."""

    session: str
    attempt: int
    route: tuple[RouteStage, ...]


StageMessage = Step | NeedInputs | StepDone | StepFailed | Drop

_DECODER = msgspec.msgpack.Decoder(StageMessage)


def encode(message: StageMessage) -> bytes:
    """Encode a message with its length."""
    payload = msgspec.msgpack.encode(message)
    return LENGTH.pack(len(payload)) + payload


async def messages_of(stream: ByteStream) -> AsyncIterator[StageMessage]:
    """Yield the messages of a connection until it ends."""
    pending = bytearray()
    while True:
        try:
            pending += await stream.receive(65536)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        while len(pending) >= LENGTH.size:
            end = LENGTH.size + LENGTH.unpack_from(pending)[0]
            if len(pending) < end:
                break
            payload = bytes(pending[LENGTH.size : end])
            del pending[:end]
            yield _DECODER.decode(payload)


def stage_address(address: str) -> tuple[str, int]:
    """Return where an engine accepts stage messages: one port above its HTTP port."""
    host, _, port = address.rpartition(":")
    return host, int(port) + 1
