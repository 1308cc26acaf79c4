"""Messages between the stages of stand-in engines, and their framing on TCP connections."""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator

import anyio
import msgspec
from anyio.abc import ByteStream

from ledgeladder.upstreams.engine import ReceiptStage, RouteStage

LENGTH_PREFIX = struct.Struct(">I")


class Step(msgspec.Struct, frozen=True, kw_only=True, tag="step"):
    """Run one or more positions on the receiver, the first stage of `route`."""

    session: str
    attempt: int
    head: str
    position: int
    values: tuple[int, ...]
    """Inputs of the positions up to and including `position`."""

    route: tuple[RouteStage, ...]
    receipt: tuple[ReceiptStage, ...]


class NeedInputs(msgspec.Struct, frozen=True, kw_only=True, tag="need"):
    """The receiver of a step has no cache for the positions from `first` on."""

    step: Step
    first: int


class StepDone(msgspec.Struct, frozen=True, kw_only=True, tag="done"):
    """The last stage sends the head the output of a position."""

    session: str
    attempt: int
    position: int
    value: int
    receipt: tuple[ReceiptStage, ...]


class StepFailed(msgspec.Struct, frozen=True, kw_only=True, tag="failed"):
    """A stage reports to the head that a stage is unreachable or refused the step."""

    session: str
    attempt: int
    upstream: str
    refused: bool = False
    leaving: bool = False


class Drop(msgspec.Struct, frozen=True, kw_only=True, tag="drop"):
    """The request has ended; the receiver is the first stage of `route`."""

    session: str
    attempt: int
    route: tuple[RouteStage, ...]


StageMessage = Step | NeedInputs | StepDone | StepFailed | Drop

_DECODER = msgspec.msgpack.Decoder(StageMessage)


def encode(message: StageMessage) -> bytes:
    """Encode a message with its length prefix."""
    payload = msgspec.msgpack.encode(message)
    return LENGTH_PREFIX.pack(len(payload)) + payload


async def read_messages(stream: ByteStream) -> AsyncIterator[StageMessage]:
    """Yield the messages of a connection until it closes."""
    buffer = bytearray()
    while True:
        try:
            buffer += await stream.receive(65536)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        while len(buffer) >= LENGTH_PREFIX.size:
            end = LENGTH_PREFIX.size + LENGTH_PREFIX.unpack_from(buffer)[0]
            if len(buffer) < end:
                break
            payload = bytes(buffer[LENGTH_PREFIX.size : end])
            del buffer[:end]
            yield _DECODER.decode(payload)


def stage_address(address: str) -> tuple[str, int]:
    """Return the host and port for stage messages: one port above the HTTP port."""
    host, _, port = address.rpartition(":")
    return host, int(port) + 1
