"""Decoding what upstreams say of themselves."""

from __future__ import annotations

import contextlib
from typing import Annotated, Final

import msgspec
from returns.result import Failure, Result, Success

from ..coordination.registrations import exit_registration
from ..model import Problem, ResultCode
from ..model.registration import Holding, Registration, UpstreamState

HEARTBEAT_LIMIT_BYTES: Final = 4096
"""Longest heartbeat that is taken; the platform counts no longer one as acknowledged."""

UPSTREAMS_PATH: Final = "/api/replicas/"
"""Path under which an upstream registers, followed by its id."""

RUN_SEPARATOR: Final = "#"
"""Stands between an id and the start of a run in the name of the run. No id holds it: paths end
before it."""

_STATES: Final = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class _Layers(msgspec.Struct):
    first: int = msgspec.field(name="from")
    # One past the last layer, in spite of its name on the wire.
    end: int = msgspec.field(name="targetVersion")


class _Heartbeat(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    # Of its software, which nothing here depends on; a heartbeat without it is of another writer.
    version: str
    state: str
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    slots: int
    # Unix time of its start in milliseconds; upstreams whose every run has an id of its own have
    # none.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    # Of no use here; one of another type says that the heartbeat is of another writer.
    coldRemainingMs: float = 0.0  # noqa: N815
    stage: str = ""
    models: list[dict[str, object]] = []
    layers: _Layers | None = None
    # The kind of accelerator, in spite of its name on the wire.
    card: str = msgspec.field(default="", name="routeType")


class _Farewell(msgspec.Struct):
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


_DECODER: Final = msgspec.json.Decoder(_Heartbeat)
_FAREWELL_DECODER: Final = msgspec.json.Decoder(_Farewell)


def run_name(upstream: str, started_ms: int) -> str:
    """Return the name of a run of an upstream.

    >>> run_name("i-1", 1700000000000), run_name("i-1", 0)
    ('i-1#1700000000000', 'i-1')
    """
    return f"{upstream}{RUN_SEPARATOR}{started_ms}" if started_ms else upstream


def upstream_of(instance: str) -> str:
    """Return the id by which a run of an upstream is called.

    >>> upstream_of("i-1#1700000000000")
    'i-1'
    """
    return instance.partition(RUN_SEPARATOR)[0]


def decode_farewell(instance: str, body: bytes) -> Registration:
    """Decode the call by which an upstream says that it ends.

    Args:
        instance: Id from the path.
        body: The body, in which it may say which run of it ends; one that cannot be read says
            nothing.

    Returns:
        The end of that run, or of the newest one if none is named.
    """
    started_ms = 0
    if body:
        with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            started_ms = _FAREWELL_DECODER.decode(body).born
    return exit_registration(run_name(instance, started_ms), instance)


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
    if RUN_SEPARATOR in instance:
        return _invalid(f"id {instance!r}")
    state = _STATES.get(beat.state)
    host, separator, port = beat.address.rpartition(":")
    if state is None or not (separator and host and port.isdigit()):
        return _invalid(f"state {beat.state!r}, address {beat.address!r}")
    return Success(
        Registration(
            instance=run_name(instance, beat.born),
            upstream=instance,
            started_ms=beat.born,
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
