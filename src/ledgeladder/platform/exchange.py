"""Header fields of requests and answers, between callers and upstreams."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

from ..http1.backpressure import read_backoff, read_rate
from ..model.exchange import AnswerFacts, CallerFacts, Dispatch, PathPart, UpstreamLoad
from .registrations import upstream_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..http1 import HttpRequest

    Headers = list[tuple[bytes, bytes]]

MILLISECONDS: Final = 1000
PRIORITY_LIMIT: Final = 9
"""Least urgent rank that an upstream knows."""

MISDIRECTED: Final = 421
"""Status by which an upstream refuses a request meant for another, or a path that names layers
that it does not hold."""

KEY_SCHEME: Final = "token"
"""Scheme of the authorization field that carries a key, in lower case."""

CONNECTION_FIELDS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields that belong to one connection (RFC 9110, section 7.6.1)."""

SET_BY_SYSTEM: Final = frozenset(
    {
        b"deadline-ms",
        b"expect-replica",
        b"expect-version",
        b"path",
        b"priority",
        b"tenant-name",
        b"content-length",
        b"expect",
    }
)
"""Fields of a caller that are never passed on: the system sets its own."""


def read_caller_facts(request: HttpRequest) -> CallerFacts:
    """Read what the system needs to know of a request.

    Args:
        request: The request.

    Returns:
        Its facts; what cannot be read counts as not said.
    """
    fields = request.fields
    host = fields.get(b"host", b"").decode("latin-1").lower()
    path = request.target.decode("latin-1").partition("?")[0]
    tokens = fields.get(b"token-count", b"").partition(b",")
    timeout = _number(fields.get(b"deadline-ms"))
    resume = _number(fields.get(b"last-event-id"))
    return CallerFacts(
        attempt_id=fields.get(b"attempt-id", b"").decode("latin-1"),
        host=host.partition(":")[0],
        path=path,
        timeout=None if timeout is None else timeout / MILLISECONDS,
        key=_key(fields.get(b"authorization")),
        resume_after=None if resume is None else int(resume),
        prompt_tokens=int(_number(tokens[0]) or 0),
        answer_tokens=int(_number(tokens[2]) or 0),
    )


def _number(value: bytes | None) -> float | None:
    """Read a finite number that is not negative; None for anything else."""
    if value is None:
        return None
    with contextlib.suppress(ValueError):
        number = float(value)
        return number if 0 <= number < float("inf") else None
    return None


def _key(value: bytes | None) -> str | None:
    """Read the key out of an authorization field; None for another scheme or an empty key."""
    scheme, _, key = (value or b"").decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME and key.strip() else None


def _listed(fields: dict[bytes, bytes]) -> set[bytes]:
    """Return the fields that the sender calls its connection's own."""
    return {name.strip().lower() for name in fields.get(b"connection", b"").split(b",")}


def dispatch_headers(request: HttpRequest, dispatch: Dispatch, *, hide_key: bool) -> Headers:
    """Return the header fields of a request on its way to an upstream.

    Args:
        request: The caller's request.
        dispatch: What the system adds.
        hide_key: True if the caller's key must not be shown.

    Returns:
        The caller's fields, in order and as they were sent, without those of its connection and
        those that only the system sets, and the system's own behind them.
    """
    dropped = CONNECTION_FIELDS | SET_BY_SYSTEM | _listed(request.fields)
    if hide_key:
        dropped |= {b"authorization"}
    if dispatch.resume_after is not None:
        dropped |= {b"last-event-id"}
    headers = [item for item in request.headers if item[0].lower() not in dropped]
    headers.append((b"Deadline-Ms", str(max(1, int(dispatch.timeout * MILLISECONDS))).encode()))
    headers.append((b"Expect-Replica", upstream_of(dispatch.instance).encode()))
    if dispatch.account is not None:
        headers.append((b"Tenant-Name", dispatch.account.encode()))
    if dispatch.priority is not None:
        rank = min(max(dispatch.priority, 0), PRIORITY_LIMIT)
        headers.append((b"Priority", str(rank).encode()))
    if dispatch.path:
        headers.append((b"Path", encode_path(dispatch.path).encode()))
    if dispatch.resume_after is not None:
        headers.append((b"Last-Event-Id", str(dispatch.resume_after).encode()))
    if request.body or b"content-length" in request.fields:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    elif b"transfer-encoding" in request.fields:
        headers.append((b"Content-Length", b"0"))
    return headers


def encode_path(path: Iterable[PathPart]) -> str:
    """Write the engines that a request passes, in order."""
    return ",".join(f"{part.address}={part.first}-{part.end}" for part in path)


def read_answer_facts(status: int, headers: Iterable[tuple[bytes, bytes]]) -> AnswerFacts:
    """Read what the head of an upstream's answer says.

    Args:
        status: HTTP status.
        headers: Header fields with lower-case names.

    Returns:
        Its facts; what cannot be read counts as not said.
    """
    told = list(headers)
    fields = dict(told)
    return AnswerFacts(
        attempt_id=fields.get(b"attempt-id", b"").decode("latin-1"),
        signed=b"replica-seal" in fields,
        not_run=b"not-executed" in fields or status == MISDIRECTED,
        wrong_upstream=status == MISDIRECTED and b"at-server" not in fields,
        failed_upstream=fields.get(b"at-server", b"").decode("latin-1"),
        load=_load(fields.get(b"replica-load")),
        keep_alive_seconds=_keep_alive_seconds(fields),
        backoff_seconds=read_backoff(status, told),
        draining=fields.get(b"server-leaving", b"0").strip() not in (b"", b"0"),
        advertised_rate=read_rate(b"server-limit", told),
    )


def _load(value: bytes | None) -> UpstreamLoad | None:
    parts = [_number(part) for part in (value or b"").split(b",")]
    if len(parts) != 3 or None in parts:
        return None
    running, waiting, slots = (int(part or 0) for part in parts)
    return UpstreamLoad(running=running, waiting=waiting, slots=slots)


def _keep_alive_seconds(fields: dict[bytes, bytes]) -> float | None:
    """Read how long an idle connection is kept, in seconds: 0 if it ends, None if not said."""
    if b"close" in fields.get(b"connection", b"").lower():
        return 0.0
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _number(value)
    return None


def caller_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the header fields of an upstream's answer on its way to the caller."""
    dropped = CONNECTION_FIELDS | {b"content-length"}
    return [(name, value) for name, value in headers if name.lower() not in dropped]
