"""Calls of upstreams and operators to control boxes, and their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure

from ..model import Problem, ResultCode
from .registrations import UPSTREAMS_PATH, decode_deregistration, decode_heartbeat

if TYPE_CHECKING:
    from ..http1 import HttpRequest
    from ..model.registration import Registration

CONFIGURATION_PATH: Final = "/api/config"
JSON_HEADERS: Final = [(b"Content-Type", b"application/json")]

ACKNOWLEDGED: Final = b"{}"
"""Body of the answer that acknowledges a call."""


class Register(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream reports its state or its exit."""

    registration: Registration


class Publish(msgspec.Struct, frozen=True, kw_only=True):
    """An operator publishes a configuration document."""

    body: bytes


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True):
    """An operator reads the newest configuration document."""


ControlCall = Register | Publish | ReadDocument


def read_control_call(request: HttpRequest) -> ControlCall | Problem:
    """Decode a request to a control box.

    Args:
        request: The request.

    Returns:
        The call, or a problem if there is no such call or its body is invalid.
    """
    path = request.target.decode("latin-1").partition("?")[0]
    if path == CONFIGURATION_PATH:
        if request.method == b"PUT":
            return Publish(body=request.body)
        if request.method == b"GET":
            return ReadDocument()
    instance = path.removeprefix(UPSTREAMS_PATH)
    if instance != path and instance:
        if request.method == b"PUT":
            decoded = decode_heartbeat(instance, request.body)
            if isinstance(decoded, Failure):
                return decoded.failure()
            return Register(registration=decoded.unwrap())
        if request.method == b"DELETE":
            return Register(registration=decode_deregistration(instance, request.body))
    return Problem(code=ResultCode.NOT_FOUND)
