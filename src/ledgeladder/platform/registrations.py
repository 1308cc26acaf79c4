"""Decoding what upstreams say of themselves."""

from __future__ import annotations

from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from ..model import Problem, ResultCode
from ..model.registration import Holding, Registration, UpstreamState

HEARTBEAT_LIMIT_BYTES: Final = 4096
"""Longest heartbeat that is taken; the platform counts no longer one as acknowledged."""

UPSTREAMS_PATH: Final = "/api/replicas/"
"""Path under which an upstream registers, followed by its id."""

_STATES: Final = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}


class _Layers(msgspec.Struct):
    first: int = msgspec.field(name="from")
    # One past the last layer, in spite of its name on the wire.
    end: int = msgspec.field(name="targetVersion")


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    sequence: int
    slots: int = 1
    layers: _Layers | None = None
    # The kind of accelerator, in spite of its name on the wire.
    card: str = msgspec.field(default="", name="routeType")


_DECODER: Final = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(instance: str, body: bytes) -> Result[Registration, Problem]:
    """Decode one heartbeat.

    Args:
        instance: Id from the path.
        body: The body.

    Returns:
        The registration, or a problem with code REGISTRATION_INVALID.
    """
    if len(body) > HEARTBEAT_LIMIT_BYTES:
        return _invalid(f"{len(body)} bytes exceed {HEARTBEAT_LIMIT_BYTES}")
    try:
        beat = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _invalid(str(error))
    state = _STATES.get(beat.state)
    host, separator, port = beat.address.rpartition(":")
    if state is None or not (separator and host and port.isdigit()):
        return _invalid(f"state {beat.state!r}, address {beat.address!r}")
    return Success(
        Registration(
            instance=instance,
            sequence=beat.sequence,
            pool=beat.service,
            address=beat.address,
            failure_domain=beat.zone,
            slots=max(1, beat.slots),
            state=state,
            card=beat.card,
            holdings=_holdings(beat.layers),
        )
    )


def _invalid(detail: str) -> Failure[Problem]:
    return Failure(Problem(code=ResultCode.REGISTRATION_INVALID, detail=detail))


def _holdings(layers: _Layers | None) -> tuple[Holding, ...]:
    if layers is None or layers.end <= layers.first:
        return ()
    return (Holding(first=layers.first, end=layers.end),)
