"""Numeric result codes, and what each implies about the execution of the request."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Final

import msgspec


class Execution(StrEnum):
    """Whether a request was executed."""

    NOT_RUN = "not-run"
    """No byte of the request reached an upstream, or the upstream refused it before starting."""

    RAN = "ran"
    """The request was executed, in full or in part."""

    UNKNOWN = "unknown"
    """The request may or may not have been executed."""


EXECUTION_HEADER: Final = "Ledgeladder-Execution"
"""Header with `not-run`, `ran` or `unknown`, in answers to callers and answers of services."""


class ResultCode(IntEnum):
    """Numeric outcome of a request, a change or a command."""

    OK = 0
    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    UNKNOWN_PIPELINE = 1003
    KEY_MISSING = 1004
    KEY_UNKNOWN = 1005
    PIPELINE_FORBIDDEN = 1006
    IDEMPOTENCY_KEY_MISSING = 1007
    IDEMPOTENCY_KEY_INVALID = 1008
    IDEMPOTENCY_KEY_EXPIRED = 1009
    IDEMPOTENCY_KEY_REUSED = 1010
    POLICY_DENIED = 1011
    NOT_FOUND = 1012
    HEAD_TOO_LARGE = 1013
    REQUEST_SLOW = 1014
    RATE_EXCEEDED = 1101
    CONCURRENCY_EXCEEDED = 1102
    QUEUE_FULL = 1103
    DEADLINE_UNREACHABLE = 1104
    OUT_OF_ROOM = 1105
    MEMORY_FULL = 1106
    NO_ROUTE = 1201
    UPSTREAM_REFUSED = 1202
    UPSTREAM_LOST = 1203
    DEADLINE_EXCEEDED = 1204
    UPSTREAM_FAILED = 1205
    QUARANTINED = 1206
    UPSTREAMS_RESTING = 1207
    UPSTREAMS_LIMITED = 1208
    NO_QUORUM = 1301
    CLAIM_RUNNING = 1302
    CLAIM_UNKNOWN = 1303
    CLAIM_TABLE_FULL = 1304
    STARTING = 1401
    STOPPING = 1402
    BELIEF_STALE = 1403
    UNEXPECTED_ERROR = 1404
    VERSION_CONFLICT = 2001
    VERSION_FUTURE = 2002
    CHANGE_ID_REUSED = 2003
    CHANGE_INVALID = 2004
    POLICY_INVALID = 2005
    OPERATOR_UNKNOWN = 2006
    NOT_LEADER = 2007
    CHANGE_UNKNOWN = 2008
    REGISTRATION_INVALID = 2101
    DEPARTURE_UNCONFIRMED = 2102
    SETTINGS_INVALID = 3001
    JOURNAL_CORRUPT = 3002
    JOURNAL_FORMAT = 3003
    FOLDER_FOREIGN = 3004
    SYNC_FAILED = 3005
    DISK_FULL = 3006
    FRAME_INVALID = 3101
    PEER_UNTRUSTED = 3102


class CodeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """HTTP status, execution and meaning of a result code."""

    status: int
    """HTTP status of answers with the code."""

    execution: Execution
    """Execution that the code implies, unless the problem states another."""

    meaning: str
    """One sentence for the table in the documentation."""


def _entry(status: int, execution: Execution, meaning: str) -> CodeEntry:
    return CodeEntry(status=status, execution=execution, meaning=meaning)


_NOT_RUN: Final = Execution.NOT_RUN
_RAN: Final = Execution.RAN
_UNKNOWN: Final = Execution.UNKNOWN

CODE_TABLE: Final[dict[ResultCode, CodeEntry]] = {
    ResultCode.OK: _entry(200, _RAN, "The request was answered, or the change was accepted."),
    ResultCode.MALFORMED_REQUEST: _entry(
        400, _NOT_RUN, "The body is not JSON, or a field is missing or out of range."
    ),
    ResultCode.BODY_TOO_LARGE: _entry(413, _NOT_RUN, "The body exceeds the configured bound."),
    ResultCode.UNKNOWN_PIPELINE: _entry(404, _NOT_RUN, "No pipeline of that name exists."),
    ResultCode.KEY_MISSING: _entry(401, _NOT_RUN, "The request carries no bearer key."),
    ResultCode.KEY_UNKNOWN: _entry(401, _NOT_RUN, "The bearer key belongs to no client account."),
    ResultCode.PIPELINE_FORBIDDEN: _entry(
        403, _NOT_RUN, "The client account may not use this pipeline."
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: _entry(
        400, _NOT_RUN, "A request that may not be repeated needs an Idempotency-Key."
    ),
    ResultCode.IDEMPOTENCY_KEY_INVALID: _entry(
        400, _NOT_RUN, "The Idempotency-Key is not a version 7 UUID, or its time is in the future."
    ),
    ResultCode.IDEMPOTENCY_KEY_EXPIRED: _entry(
        409, _UNKNOWN, "The Idempotency-Key is older than the window in which keys are remembered."
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: _entry(
        409, _NOT_RUN, "The Idempotency-Key was used before with another body."
    ),
    ResultCode.POLICY_DENIED: _entry(403, _NOT_RUN, "The policy of the pipeline denied it."),
    ResultCode.NOT_FOUND: _entry(404, _NOT_RUN, "No page or object of that name exists."),
    ResultCode.HEAD_TOO_LARGE: _entry(431, _NOT_RUN, "The request head exceeds its bound."),
    ResultCode.REQUEST_SLOW: _entry(408, _NOT_RUN, "The request did not arrive in time."),
    ResultCode.RATE_EXCEEDED: _entry(429, _NOT_RUN, "The client account is over its rate."),
    ResultCode.CONCURRENCY_EXCEEDED: _entry(
        429, _NOT_RUN, "The client account has too many requests in progress."
    ),
    ResultCode.QUEUE_FULL: _entry(503, _NOT_RUN, "Too many requests wait for an upstream."),
    ResultCode.DEADLINE_UNREACHABLE: _entry(
        503, _NOT_RUN, "The request could not have been answered before its deadline."
    ),
    ResultCode.OUT_OF_ROOM: _entry(
        503, _NOT_RUN, "The engines have no room, or keep it for more urgent requests."
    ),
    ResultCode.MEMORY_FULL: _entry(
        503, _NOT_RUN, "The box has no memory for the request while others are being read."
    ),
    ResultCode.NO_ROUTE: _entry(
        503, _NOT_RUN, "The reachable upstreams do not cover every layer of the model."
    ),
    ResultCode.UPSTREAM_REFUSED: _entry(
        503, _NOT_RUN, "Every upstream tried refused before starting."
    ),
    ResultCode.UPSTREAM_LOST: _entry(
        502, _UNKNOWN, "The upstream was lost while the request was in progress."
    ),
    ResultCode.DEADLINE_EXCEEDED: _entry(
        504, _UNKNOWN, "The deadline passed while the request was in progress."
    ),
    ResultCode.UPSTREAM_FAILED: _entry(502, _RAN, "The upstream ran the request and failed."),
    ResultCode.QUARANTINED: _entry(
        503, _NOT_RUN, "Upstreams ended under earlier requests with the same content."
    ),
    ResultCode.UPSTREAMS_RESTING: _entry(
        503, _NOT_RUN, "Every upstream that could run it has asked this box for rest."
    ),
    ResultCode.UPSTREAMS_LIMITED: _entry(
        503, _NOT_RUN, "The upstreams that could run it take no more requests in this second."
    ),
    ResultCode.NO_QUORUM: _entry(
        503, _NOT_RUN, "No majority of control boxes is reachable to record the request or change."
    ),
    ResultCode.CLAIM_RUNNING: _entry(
        409, _RAN, "A request with this Idempotency-Key is still in progress."
    ),
    ResultCode.CLAIM_UNKNOWN: _entry(
        409, _UNKNOWN, "A request with this Idempotency-Key was started and its end is not known."
    ),
    ResultCode.CLAIM_TABLE_FULL: _entry(
        503, _NOT_RUN, "No more requests that may not be repeated can be recorded for now."
    ),
    ResultCode.STARTING: _entry(503, _NOT_RUN, "The box has no configuration in force yet."),
    ResultCode.STOPPING: _entry(503, _NOT_RUN, "The box is stopping and takes no new requests."),
    ResultCode.BELIEF_STALE: _entry(
        503, _NOT_RUN, "The box cannot be sure that it knows the newest configuration and keys."
    ),
    ResultCode.UNEXPECTED_ERROR: _entry(
        502, _UNKNOWN, "A fault of the box ended the request, which may have been executed."
    ),
    ResultCode.VERSION_CONFLICT: _entry(
        409, _NOT_RUN, "Another change was accepted first; the answer names the current version."
    ),
    ResultCode.VERSION_FUTURE: _entry(
        409, _NOT_RUN, "The change is based on a version that does not exist yet."
    ),
    ResultCode.CHANGE_ID_REUSED: _entry(
        409, _NOT_RUN, "The change id was used before with other content."
    ),
    ResultCode.CHANGE_INVALID: _entry(
        400, _NOT_RUN, "The resulting configuration would be inconsistent; nothing was changed."
    ),
    ResultCode.POLICY_INVALID: _entry(
        400, _NOT_RUN, "A policy does not compile or failed its trial; nothing was changed."
    ),
    ResultCode.OPERATOR_UNKNOWN: _entry(401, _NOT_RUN, "The operator token is not known."),
    ResultCode.NOT_LEADER: _entry(
        421, _NOT_RUN, "This control box does not lead; the answer names the leader if known."
    ),
    ResultCode.CHANGE_UNKNOWN: _entry(
        504, _UNKNOWN, "The change was submitted and not confirmed; resend it with the same id."
    ),
    ResultCode.REGISTRATION_INVALID: _entry(
        400, _NOT_RUN, "An upstream's registration is malformed or too long; it was ignored."
    ),
    ResultCode.DEPARTURE_UNCONFIRMED: _entry(
        503,
        _UNKNOWN,
        "Too few other control boxes hold an upstream's departure; the upstream asks another box.",
    ),
    ResultCode.SETTINGS_INVALID: _entry(
        500, _NOT_RUN, "The settings file is wrong; the message names file, key and value."
    ),
    ResultCode.JOURNAL_CORRUPT: _entry(
        500, _NOT_RUN, "A synced journal record or snapshot does not match its checksum."
    ),
    ResultCode.JOURNAL_FORMAT: _entry(
        500, _NOT_RUN, "The data folder was written by a newer version of the program."
    ),
    ResultCode.FOLDER_FOREIGN: _entry(
        500, _NOT_RUN, "The data folder belongs to another box or another cluster."
    ),
    ResultCode.SYNC_FAILED: _entry(
        500, _NOT_RUN, "The disk failed to sync; the process stops and must be restarted."
    ),
    ResultCode.DISK_FULL: _entry(
        503, _NOT_RUN, "The disk of the control box is full; nothing was written."
    ),
    ResultCode.FRAME_INVALID: _entry(
        400, _NOT_RUN, "A frame between processes is malformed or too large; the link was closed."
    ),
    ResultCode.PEER_UNTRUSTED: _entry(
        401, _NOT_RUN, "The peer does not hold the shared secret; the link was closed."
    ),
}
"""Entry of every result code. The table in the documentation is checked against it."""
