"""Commands of the replicated state machine and their results."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ..model import ChangeDocument, ResultCode
from .orders import Assignment


class ChangeCommand(msgspec.Struct, frozen=True, kw_only=True, tag="change", array_like=True):
    """Change the configuration, unless another change was committed first."""

    change: ChangeDocument
    operator: str
    time_ms: int
    """Wall clock of the leader that proposed the command, in milliseconds since 1970."""


class RefusalCommand(msgspec.Struct, frozen=True, kw_only=True, tag="refusal", array_like=True):
    """Record in the audit trail a change that was refused before it reached the log."""

    change_id: str
    operator: str
    code: ResultCode
    detail: str
    time_ms: int


class ClaimCommand(msgspec.Struct, frozen=True, kw_only=True, tag="claim", array_like=True):
    """Request the right to dispatch a request that may run at most once."""

    account: str
    key: str
    """Idempotency key, a version 7 UUID."""

    body_digest: bytes
    attempt: str
    """Random id of this attempt. Only the attempt that is granted may dispatch."""

    deadline_ms: int
    """Wall-clock time by which the attempt has certainly finished, in milliseconds since 1970."""

    time_ms: int


class CompleteCommand(msgspec.Struct, frozen=True, kw_only=True, tag="complete", array_like=True):
    """Record the answer of a claimed request."""

    account: str
    key: str
    attempt: str
    status: int
    """HTTP status of the answer; 0 if the outcome is unknown."""

    content_type: str
    body: bytes
    time_ms: int


class ReleaseCommand(msgspec.Struct, frozen=True, kw_only=True, tag="release", array_like=True):
    """Release a claim whose request was certainly not run."""

    account: str
    key: str
    attempt: str
    time_ms: int


class OrderCommand(msgspec.Struct, frozen=True, kw_only=True, tag="order", array_like=True):
    """Place an order to an engine."""

    upstream: str
    assignment: Assignment
    time_ms: int


class OrderDoneCommand(msgspec.Struct, frozen=True, kw_only=True, tag="done", array_like=True):
    """Record that an engine carried out an order."""

    upstream: str
    index: int
    time_ms: int


class PublishCommand(msgspec.Struct, frozen=True, kw_only=True, tag="publish", array_like=True):
    """Put a whole document in force if its version is the highest so far."""

    version: int
    body: bytes
    """The document as the operator sent it, compressed with zlib."""

    time_ms: int


class QuarantineCommand(msgspec.Struct, frozen=True, kw_only=True, tag="hold", array_like=True):
    """Quarantine request content, so that it is sent to no upstream for a while."""

    fingerprint: bytes
    """Fingerprint of the request content."""

    time_ms: int


Command = (
    ChangeCommand
    | RefusalCommand
    | ClaimCommand
    | CompleteCommand
    | ReleaseCommand
    | OrderCommand
    | OrderDoneCommand
    | PublishCommand
    | QuarantineCommand
)


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True, tag="change", array_like=True):
    """Outcome of a change."""

    code: ResultCode
    version: int
    """Version that the change made, or the current version if it was refused."""

    detail: str = ""
    repeated: bool = False
    """True if the change id was decided before and this repeats the first answer."""


class ClaimVerdict(StrEnum):
    """Outcome of a claim."""

    GRANTED = "granted"
    """This attempt, and no other, may dispatch the request once."""

    RUNNING = "running"
    """Another attempt holds the claim and may still be running."""

    ANSWERED = "answered"
    """The request was run; the recorded answer is attached."""

    UNKNOWN = "unknown"
    """Another attempt held the claim and its outcome is unknown."""

    MISMATCH = "mismatch"
    """The key was used with another body."""

    EXPIRED = "expired"
    """The key is older than the window in which keys are kept."""

    FUTURE = "future"
    """The time in the key lies in the future, or the key carries none."""

    FULL = "full"
    """The claim table is full."""


class ClaimResult(msgspec.Struct, frozen=True, kw_only=True, tag="claim", array_like=True):
    """Outcome of a claim, with the recorded answer if there is one."""

    verdict: ClaimVerdict
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    retry_ms: int = 0
    """Milliseconds until the attempt that holds the claim has finished, if it is running."""


class Acknowledgement(msgspec.Struct, frozen=True, kw_only=True, tag="noted", array_like=True):
    """Outcome of a command without a result type of its own."""

    accepted: bool


class PublishResult(msgspec.Struct, frozen=True, kw_only=True, tag="publish", array_like=True):
    """Outcome of a publication, which is never refused at this point."""

    version: int
    """Highest version so far, which is in force."""

    in_force: bool
    """True if the published document was the newest."""


Result = ChangeResult | ClaimResult | Acknowledgement | PublishResult
