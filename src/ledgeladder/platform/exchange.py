"""Header fields of requests and answers between callers and upstreams."""

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

READY_PATH: Final = "/api/ready"
"""Path at which load balancers ask a gateway whether it is ready."""

MILLISECONDS: Final = 1000
PROMISING_STATUSES: Final = frozenset({408, 429, 503})
"""Statuses that callers take for a promise that a request was not run and never will be. Of an
upstream, only its own field states that."""

MAX_PRIORITY_RANK: Final = 9
"""Rank of the lowest priority that upstreams accept."""

MISDIRECTED: Final = 421
"""Status with which an upstream refuses a request for another instance, or a path with layers that
it has not loaded."""

MAX_PROMPT_PARTS: Final = 32
"""Parts of a prompt that are read, the first ones."""

MAX_PART_ID_LENGTH: Final = 64
"""Characters of a part's id that are read."""

KEY_SCHEME: Final = "token"
"""Scheme of the authorization field with a key, in lower case."""

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
"""Fields that apply to a single connection (RFC 9110, section 7.6.1)."""

SYSTEM_FIELDS: Final = frozenset(
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
"""Fields of callers that are never forwarded, as the system sets its own."""


def read_caller_facts(request: HttpRequest) -> CallerFacts:
    """Read the facts of a caller's request.

    Args:
        request: The request.

    Returns:
        Its facts; values that cannot be parsed count as missing.
    """
    fields = request.fields
    host = fields.get(b"host", b"").decode("latin-1").lower()
    path = request.target.decode("latin-1").partition("?")[0]
    tokens = fields.get(b"token-count", b"").partition(b",")
    timeout = _parse_number(fields.get(b"deadline-ms"))
    last_event_id = _parse_number(fields.get(b"last-event-id"))
    return CallerFacts(
        attempt_id=fields.get(b"attempt-id", b"").decode("latin-1"),
        host=host.partition(":")[0],
        path=path,
        timeout=None if timeout is None else timeout / MILLISECONDS,
        key=_parse_key(fields.get(b"authorization")),
        resume_after=None if last_event_id is None else int(last_event_id),
        prompt_tokens=int(_parse_number(tokens[0]) or 0),
        answer_tokens=int(_parse_number(tokens[2]) or 0),
        prompt_parts=_parse_parts(fields.get(b"prompt-prefix", b"")),
    )


def _parse_number(value: bytes | None) -> float | None:
    """Parse a finite, non-negative number; return None for any other value."""
    if value is None:
        return None
    with contextlib.suppress(ValueError):
        number = float(value)
        return number if 0 <= number < float("inf") else None
    return None


def _parse_parts(value: bytes) -> tuple[str, ...]:
    """Parse the ids of a prompt's parts, given as `ID:TOKENS` with commas between them.

    >>> _parse_parts(b"5c1e07a2:800, 91bd3f06:410")
    ('5c1e07a2', '91bd3f06')
    """
    items = value.decode("latin-1").split(",")[:MAX_PROMPT_PARTS]
    ids = (item.partition(":")[0].strip()[:MAX_PART_ID_LENGTH] for item in items)
    return tuple(dict.fromkeys(filter(None, ids)))


def _parse_key(value: bytes | None) -> str | None:
    """Parse the key of an authorization field; return None for another scheme or an empty key."""
    scheme, _, key = (value or b"").decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME and key.strip() else None


def _connection_options(fields: dict[bytes, bytes]) -> set[bytes]:
    """Return the connection options: fields that the sender restricts to the connection."""
    return {name.strip().lower() for name in fields.get(b"connection", b"").split(b",")}


def dispatch_headers(request: HttpRequest, dispatch: Dispatch, *, hide_key: bool) -> Headers:
    """Return the header fields of a request forwarded to an upstream.

    Args:
        request: The caller's request.
        dispatch: Fields that the system adds.
        hide_key: True to drop the caller's key.

    Returns:
        The caller's fields, unchanged and in order, without connection fields and those that only
        the system sets, followed by the system's fields.
    """
    dropped = CONNECTION_FIELDS | SYSTEM_FIELDS | _connection_options(request.fields)
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
        rank = min(max(dispatch.priority, 0), MAX_PRIORITY_RANK)
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
    """Encode the engines that a request passes, in order."""
    return ",".join(f"{part.address}={part.first}-{part.end}" for part in path)


def read_answer_facts(status: int, headers: Iterable[tuple[bytes, bytes]]) -> AnswerFacts:
    """Read the facts in the head of an upstream's answer.

    Args:
        status: HTTP status.
        headers: Header fields with lower-case names.

    Returns:
        Its facts; values that cannot be parsed count as missing.
    """
    pairs = list(headers)
    fields = dict(pairs)
    return AnswerFacts(
        attempt_id=fields.get(b"attempt-id", b"").decode("latin-1"),
        signed=b"replica-seal" in fields,
        not_run=b"not-executed" in fields or status == MISDIRECTED,
        promises_unproved=status in PROMISING_STATUSES and b"not-executed" not in fields,
        wrong_upstream=status == MISDIRECTED and b"at-server" not in fields,
        failed_upstream=fields.get(b"at-server", b"").decode("latin-1"),
        load=_parse_load(fields.get(b"replica-load")),
        keep_alive_seconds=_parse_keep_alive(fields),
        backoff_seconds=read_backoff(status, pairs),
        draining=fields.get(b"server-leaving", b"0").strip() not in (b"", b"0"),
        advertised_rate=read_rate(b"server-limit", pairs),
    )


def _parse_load(value: bytes | None) -> UpstreamLoad | None:
    parts = [_parse_number(part) for part in (value or b"").split(b",")]
    if len(parts) != 3 or None in parts:
        return None
    running, waiting, slots = (int(part or 0) for part in parts)
    return UpstreamLoad(running=running, waiting=waiting, slots=slots)


def _parse_keep_alive(fields: dict[bytes, bytes]) -> float | None:
    """Parse how long an idle connection is kept, in seconds: 0 if closed, None if not given."""
    if b"close" in fields.get(b"connection", b"").lower():
        return 0.0
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_number(value)
    return None


def caller_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the header fields of an upstream's answer that are forwarded to the caller."""
    dropped = CONNECTION_FIELDS | {b"content-length"}
    return [(name, value) for name, value in headers if name.lower() not in dropped]
