"""What is learnt of a request while it is forwarded, for the one log line at its end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ...coordination.content_watch import mark_content

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from .checks import Permit


class RequestTrace(msgspec.Struct, kw_only=True):
    """Course of one request."""

    first_event: float | None = None
    """Time from the arrival of the request to its first event, in seconds; None before that."""

    longest_gap: float = 0.0
    """Longest pause between events that were passed on, in seconds."""

    wait_seconds: float = 0.0
    """How long it waited for the box to be able to serve, in seconds."""

    attempts: int = 0
    """Times it was sent to an upstream, refused ones included."""

    path: list[str] = msgspec.field(default_factory=list)
    """Upstreams of the newest run; engines with their layers."""

    inter_domain_hops: int | None = None
    """Links between failure domains that the path of the newest run passes; None if it is none."""

    give_up_reason: str = ""
    """Why a stream was not sent once more; empty if it was whole, or if its time was over."""

    fingerprint: bytes | None = None
    """Mark of its content; None while nothing needed it."""


def content_fingerprint(trace: RequestTrace, request: HttpRequest, permit: Permit) -> bytes:
    """Return the mark of a request's content, which is made once.

    Args:
        trace: What is learnt of the request; keeps the mark.
        request: The request.
        permit: What it may do, with its client account or else its key.
    """
    if trace.fingerprint is None:
        caller = permit.account or permit.facts.key or ""
        trace.fingerprint = mark_content(caller, request.method, request.target, request.body)
    return trace.fingerprint


def log_fields(trace: RequestTrace) -> dict[str, Any]:
    """Return the fields of a log line; those that do not apply are left out.

    >>> log_fields(RequestTrace(attempts=1, path=["i-1=0-80"]))
    {'runs': 1, 'path': ['i-1=0-80']}
    """
    fields: dict[str, Any] = {"runs": trace.attempts}
    if trace.fingerprint is not None:
        fields["content"] = trace.fingerprint.hex()
    if trace.wait_seconds:
        fields["waited"] = round(trace.wait_seconds, 3)
    if trace.path:
        fields["path"] = trace.path
    if trace.inter_domain_hops is not None:
        fields["crossings"] = trace.inter_domain_hops
    if trace.first_event is not None:
        fields["first_event"] = round(trace.first_event, 3)
        fields["longest_gap"] = round(trace.longest_gap, 3)
    return fields
