"""Decodes heartbeats and deregistrations of upstreams."""

from __future__ import annotations

import contextlib
import socket
from typing import Annotated, Final

import msgspec
from returns.result import Failure, Result, Success

from ..coordination.registrations import exit_registration
from ..model import MALFORMED_ERRORS, Problem, ResultCode
from ..model.registration import Holding, Registration, UpstreamState

HEARTBEAT_LIMIT_BYTES: Final = 4096
"""Maximum size of a heartbeat. The platform does not count acknowledgements of longer ones."""

UPSTREAMS_PATH: Final = "/api/replicas/"
"""Path at which an upstream registers, followed by its id."""

INSTANCE_SEPARATOR: Final = "#"
"""Separates the id of an upstream from the start time in the name of an instance. Ids come from
URL paths, which end before it, and cannot contain it."""

MAX_PORT: Final = 65535

MAX_PORT_DIGITS: Final = 5
"""Digits of `MAX_PORT`; converting a long row of digits raises an error."""

# Larger numbers can be decoded from JSON, but not be encoded for links.
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]

_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]

_STATES: Final = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class _Layers(msgspec.Struct):
    first: _Count = msgspec.field(name="from")
    # One past the last layer, despite its name on the wire.
    end: _Count = msgspec.field(name="targetVersion")


class _Heartbeat(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    # Software version. Not used, but required: a body without it is not a heartbeat.
    version: str
    state: str
    sequence: _Number
    slots: _Count
    # Unix time of the start in milliseconds; 0 for upstreams that get a new id with each start.
    born: _Number = 0
    # Not used, but checked: a body with a value of another type is not a heartbeat.
    coldRemainingMs: float = 0.0  # noqa: N815
    stage: str = ""
    models: list[dict[str, object]] = []
    layers: _Layers | None = None
    # Kind of the accelerator, despite its name on the wire.
    card: str = msgspec.field(default="", name="routeType")


class _Deregistration(msgspec.Struct):
    born: _Number = 0


_DECODER: Final = msgspec.json.Decoder(_Heartbeat)
_DEREGISTRATION_DECODER: Final = msgspec.json.Decoder(_Deregistration)


def instance_name(upstream: str, started_ms: int) -> str:
    """Return the name of an instance of an upstream.

    >>> instance_name("i-1", 1700000000000), instance_name("i-1", 0)
    ('i-1#1700000000000', 'i-1')
    """
    return f"{upstream}{INSTANCE_SEPARATOR}{started_ms}" if started_ms else upstream


def upstream_of(instance: str) -> str:
    """Return the id of the upstream that an instance belongs to.

    >>> upstream_of("i-1#1700000000000")
    'i-1'
    """
    return instance.partition(INSTANCE_SEPARATOR)[0]


def decode_deregistration(instance: str, body: bytes) -> Registration:
    """Decode the call with which an upstream reports its exit.

    Args:
        instance: Id from the path.
        body: The body, which may give the start time of the instance; it is ignored if it cannot
            be decoded.

    Returns:
        The exit of that instance, or of the newest one if none is given.
    """
    started_ms = 0
    if body:
        with contextlib.suppress(*MALFORMED_ERRORS):
            started_ms = _DEREGISTRATION_DECODER.decode(body).born
    return exit_registration(instance_name(instance, started_ms), instance)


def _is_address(text: str) -> bool:
    """Return True for an IPv4 address and a port that connections can be opened to.

    A host name is none: resolving it would block the event loop.

    >>> [_is_address(text) for text in ("10.0.0.1:8080", "a.example:80", "10.0.0.1:70000")]
    [True, False, False]
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return 0 < int(port) <= MAX_PORT


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
        heartbeat = _DECODER.decode(body)
    except MALFORMED_ERRORS as error:
        return _invalid(str(error))
    if INSTANCE_SEPARATOR in instance:
        return _invalid(f"id {instance!r}")
    state = _STATES.get(heartbeat.state)
    if state is None or not _is_address(heartbeat.address):
        return _invalid(f"state {heartbeat.state!r}, address {heartbeat.address!r}")
    return Success(
        Registration(
            instance=instance_name(instance, heartbeat.born),
            upstream=instance,
            started_ms=heartbeat.born,
            sequence=heartbeat.sequence,
            pool=heartbeat.service,
            address=heartbeat.address,
            failure_domain=heartbeat.zone,
            slots=max(1, heartbeat.slots),
            state=state,
            card=heartbeat.card,
            holdings=_holdings(heartbeat.layers),
        )
    )


def _invalid(detail: str) -> Failure[Problem]:
    return Failure(Problem(code=ResultCode.REGISTRATION_INVALID, detail=detail))


def _holdings(layers: _Layers | None) -> tuple[Holding, ...]:
    if layers is None or layers.end <= layers.first:
        return ()
    return (Holding(first=layers.first, end=layers.end),)
