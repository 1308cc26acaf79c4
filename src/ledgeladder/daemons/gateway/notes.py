"""Facts about a request that are collected while it is forwarded, for its final log line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ...coordination.content_watch import compute_fingerprint
from ...routing.attempt_counts import AttemptCounts

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from .checks import Permit


class RequestTrace(msgspec.Struct, kw_only=True):
    """How one request was handled."""

    first_event: float | None = None
    """Time from the request's arrival to its first event, in seconds; None before that."""

    longest_gap: float = 0.0
    """Longest interval between forwarded events, in seconds."""

    wait_seconds: float = 0.0
    """Time that it spent in queues of this box, in seconds."""

    attempts: int = 0
    """Number of attempts to send it to an upstream, including refused ones."""

    counts: AttemptCounts = msgspec.field(default_factory=AttemptCounts)
    """Those of them that were sent, by how they ended."""

    path: list[str] = msgspec.field(default_factory=list)
    """Upstreams of the latest attempt; engines with their layers."""

    relayed_by: str = ""
    """IP address of the box that relayed the latest answer; empty if none did."""

    inter_domain_hops: int | None = None
    """Inter-domain hops on the path of the latest attempt; None if it has no path."""

    queue_seconds: float = 0.0
    """Predicted time to read the prompts that waited on that path, in seconds."""

    give_up_reason: str = ""
    """Why a stream was not retried; empty if it completed or its deadline passed."""

    fingerprint: bytes | None = None
    """Fingerprint of the request content; None until it is needed."""


def content_fingerprint(trace: RequestTrace, request: HttpRequest, permit: Permit) -> bytes:
    """Return the fingerprint of the request content, computing it on first use.

    Args:
        trace: Trace of the request, which caches the fingerprint.
        request: The request.
        permit: Its permit, which names the client account or the key.
    """
    if trace.fingerprint is None:
        caller = permit.account or permit.facts.key or ""
        trace.fingerprint = compute_fingerprint(
            caller, request.method, request.target, request.body
        )
    return trace.fingerprint


def log_fields(trace: RequestTrace) -> dict[str, Any]:
    """Return the fields of the log line, without those that do not apply.

    >>> log_fields(RequestTrace(attempts=1, path=["i-1=0-80"]))
    {'runs': 1, 'path': ['i-1=0-80']}
    """
    fields: dict[str, Any] = {"runs": trace.attempts}
    if trace.fingerprint is not None:
        fields["content"] = trace.fingerprint.hex()
    if trace.wait_seconds:
        fields["waited"] = round(trace.wait_seconds, 3)
    if trace.counts.sent:
        fields["may_have_run"] = trace.counts.may_have_run
    if trace.path:
        fields["path"] = trace.path
    if trace.relayed_by:
        fields["relayed_by"] = trace.relayed_by
    if trace.inter_domain_hops is not None:
        fields["crossings"] = trace.inter_domain_hops
    if trace.queue_seconds:
        fields["queue"] = round(trace.queue_seconds, 3)
    if trace.first_event is not None:
        fields["first_event"] = round(trace.first_event, 3)
        fields["longest_gap"] = round(trace.longest_gap, 3)
    return fields
