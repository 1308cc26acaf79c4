"""Messages between the processes of the system."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from ..coordination.commands import Command, Result
from ..coordination.orders import Assignment
from ..coordination.raft import Envelope
from ..coordination.rate_limit import ReportedLimit
from ..coordination.state_machine import Delta
from ..coordination.upstream_order import IndexChange, LoadFigures, UpstreamIndex
from ..model import Configuration, ResultCode
from ..model.registration import Holding, Liveness


class PeerRole(StrEnum):
    """What the process at the other end of a link is."""

    CONTROL = "control"
    ENTRY = "entry"
    OPERATOR = "operator"


class Challenge(msgspec.Struct, frozen=True, kw_only=True, tag="challenge", array_like=True):
    """First frame of the accepting side."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag="hello", array_like=True):
    """First frame of the connecting side."""

    cluster: str
    role: PeerRole
    box: str
    failure_domain: str
    instance: str
    """Random name of this run of the process."""

    nonce: bytes
    proof: bytes
    """Proof that the sender holds the shared secret, over both nonces."""


class Welcome(msgspec.Struct, frozen=True, kw_only=True, tag="welcome", array_like=True):
    """Answer to a hello, with the accepting side's proof."""

    box: str
    proof: bytes


class LogMessage(msgspec.Struct, frozen=True, kw_only=True, tag="log", array_like=True):
    """A message of the replicated log."""

    envelope: Envelope


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag="join", array_like=True):
    """A control box that is no member asks to become a learner."""

    member_id: str


class VersionHead(msgspec.Struct, frozen=True, kw_only=True, tag="head", array_like=True):
    """The sender's newest configuration, in short."""

    version: int
    digest: bytes


class DeltaPush(msgspec.Struct, frozen=True, kw_only=True, tag="deltas", array_like=True):
    """Changes that follow the receiver's version."""

    deltas: tuple[Delta, ...]


class FullPush(msgspec.Struct, frozen=True, kw_only=True, tag="full", array_like=True):
    """A whole configuration."""

    configuration: Configuration


class Pull(msgspec.Struct, frozen=True, kw_only=True, tag="pull", array_like=True):
    """Ask for everything after a version that the sender has in force."""

    version: int
    full: bool = False
    """True if deltas will not do, as after a digest that does not match."""


class InForce(msgspec.Struct, frozen=True, kw_only=True, tag="in-force", array_like=True):
    """Tell which version a box has in force."""

    box: str
    failure_domain: str
    instance: str
    version: int


class InForceReport(msgspec.Struct, frozen=True, kw_only=True, tag="report", array_like=True):
    """Tell other control boxes which versions the boxes connected here have in force."""

    boxes: tuple[InForce, ...]


class CommandRequest(msgspec.Struct, frozen=True, kw_only=True, tag="command?", array_like=True):
    """Ask the leader to commit a command."""

    call: int
    command: Command


class CommandReply(msgspec.Struct, frozen=True, kw_only=True, tag="command", array_like=True):
    """Outcome of a command."""

    call: int
    result: Result | None
    """Result, or None if the command was not committed here."""

    code: ResultCode = ResultCode.OK
    """Why there is no result."""

    leader: str = ""
    """Box that leads, if known."""


class FencedOrder(msgspec.Struct, frozen=True, kw_only=True, tag="order?", array_like=True):
    """Ask the gate to pass an order on to an engine that does not check fences itself."""

    upstream: str
    address: str
    term: int
    index: int
    assignment: Assignment


class OrderOutcome(msgspec.Struct, frozen=True, kw_only=True, tag="order", array_like=True):
    """What became of an order at the gate."""

    upstream: str
    term: int
    index: int
    done: bool


class TermQuery(msgspec.Struct, frozen=True, kw_only=True, tag="term?", array_like=True):
    """Ask a control box for its current term."""

    call: int


class TermReply(msgspec.Struct, frozen=True, kw_only=True, tag="term", array_like=True):
    """A control box's current term."""

    call: int
    term: int
    voters: int
    """Number of voters that it knows, of which a majority must answer."""

    is_voter: bool


class PeerHint(msgspec.Struct, frozen=True, kw_only=True, tag="peers", array_like=True):
    """Link addresses of control boxes, for processes that are given no list of them."""

    addresses: tuple[str, ...]
    domains: dict[str, str] = {}
    """Failure domain of each, as far as the sender knows it."""


class RegistrationNews(msgspec.Struct, frozen=True, kw_only=True, tag="upstreams", array_like=True):
    """What upstreams said of themselves, and when."""

    told: tuple[Liveness, ...]


class OrderOfUpstreams(msgspec.Struct, frozen=True, kw_only=True, tag="known", array_like=True):
    """The order in which the sender tells figures of upstreams from now on."""

    order: UpstreamIndex


class ChangedOrder(msgspec.Struct, frozen=True, kw_only=True, tag="known+", array_like=True):
    """What has changed in the order that the sender told before."""

    change: IndexChange


class RegistrationAges(msgspec.Struct, frozen=True, kw_only=True, tag="ages", array_like=True):
    """How long ago each upstream of the sender's order was last heard."""

    order: int
    """Number of the order."""

    ages: bytes
    """Ages as `pack_ages` writes them."""


class LostReport(msgspec.Struct, frozen=True, kw_only=True, tag="lost", array_like=True):
    """An entry box found an upstream dead."""

    instance: str


class LossNews(msgspec.Struct, frozen=True, kw_only=True, tag="gone", array_like=True):
    """Several entry boxes found an engine dead."""

    instance: str


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, tag="ended", array_like=True):
    """An upstream ended while a request was on it."""

    content: bytes
    """Mark of the request's content."""

    instance: str
    """Run of the upstream."""


class ContentServed(msgspec.Struct, frozen=True, kw_only=True, tag="served", array_like=True):
    """A request was answered under whose content upstreams had ended."""

    content: bytes
    """Mark of its content."""


class SuspectNews(msgspec.Struct, frozen=True, kw_only=True, tag="suspect", array_like=True):
    """Several upstreams have ended under a content."""

    content: bytes
    """Mark of the content."""

    ends: int
    """Their number, under requests of all entry boxes."""


class QuarantineNews(msgspec.Struct, frozen=True, kw_only=True, tag="held", array_like=True):
    """All contents that are to be sent to no upstream."""

    seconds_left: dict[bytes, float]
    """For how many more seconds, by mark of the content."""


class OrderNews(msgspec.Struct, frozen=True, kw_only=True, tag="ordered", array_like=True):
    """The leader has ordered an engine to hold layers, which it has not reported yet."""

    instance: str
    holding: Holding
    load_seconds: float
    """Time that the load is predicted to take."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, tag="load", array_like=True):
    """What the sender's requests take on each upstream."""

    loads: dict[str, LoadFigures]


class LoadShare(msgspec.Struct, frozen=True, kw_only=True, tag="share", array_like=True):
    """What the requests of the entry boxes that report to one control box take, for the others."""

    order: int
    """Number of the sender's order of upstreams."""

    loads: bytes
    """Loads as `pack_loads` writes them."""

    entries: int
    """Entry boxes that report to the sender."""


class LoadTotals(msgspec.Struct, frozen=True, kw_only=True, tag="loads", array_like=True):
    """What the requests of all entry boxes take on each upstream."""

    order: int
    """Number of the sender's order of upstreams."""

    loads: bytes
    """Loads as `pack_loads` writes them."""


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True, tag="lend?", array_like=True):
    """An entry box asks for repeats out of the shared reserve."""

    call: int
    pool: str
    count: int


class LoanReply(msgspec.Struct, frozen=True, kw_only=True, tag="lend", array_like=True):
    """Repeats that a voter lends; they may be spent for `LOAN_SECONDS` from the asking on."""

    call: int
    count: int


class RateLimitNews(msgspec.Struct, frozen=True, kw_only=True, tag="rates", array_like=True):
    """Upstreams that name how many requests a second they take, or that name none any more."""

    limits: dict[str, ReportedLimit]
    """What is known of their limits, by run of the upstream."""


class GrantRequest(msgspec.Struct, frozen=True, kw_only=True, tag="grants?", array_like=True):
    """An entry box asks for requests to upstreams that name a limit."""

    call: int
    counts: dict[str, int]
    """Requests that it wants to send, by run of the upstream."""

    limits: dict[str, ReportedLimit]
    """What it knows of their limits."""


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests to one upstream that a voter lends."""

    count: int
    """Requests that may be sent for `GRANT_TTL_SECONDS` from the asking on."""

    wait: float
    """How long a box waits for the next one in the mean, in seconds."""

    limit: ReportedLimit
    """What the sender knows of the upstream's limit."""


class GrantReply(msgspec.Struct, frozen=True, kw_only=True, tag="grants", array_like=True):
    """Requests that a voter lends."""

    call: int
    grants: dict[str, Grant]
    """By run of the upstream; empty if the sender is sure of nothing, and lends none."""


class VersionQuery(msgspec.Struct, frozen=True, kw_only=True, tag="newest?", array_like=True):
    """Ask which published version is the newest."""

    call: int


class VersionReply(msgspec.Struct, frozen=True, kw_only=True, tag="newest", array_like=True):
    """The newest published version, as far as the sender can be sure."""

    call: int
    version: int
    age: float | None
    """Seconds that the knowledge is old; None if the sender cannot be sure of anything."""

    entries: int = 1
    """Entry boxes that the sender knows of, among which shared budgets are split."""


class DocumentPull(msgspec.Struct, frozen=True, kw_only=True, tag="document?", array_like=True):
    """Ask for the published document if it is newer than a version."""

    version: int


class DocumentPush(msgspec.Struct, frozen=True, kw_only=True, tag="document", array_like=True):
    """A published document."""

    version: int
    body: bytes
    """The document, compressed with zlib."""


LinkMessage = (
    Challenge
    | Hello
    | Welcome
    | LogMessage
    | JoinRequest
    | VersionHead
    | DeltaPush
    | FullPush
    | Pull
    | InForce
    | InForceReport
    | CommandRequest
    | CommandReply
    | FencedOrder
    | OrderOutcome
    | TermQuery
    | TermReply
    | PeerHint
    | RegistrationNews
    | OrderOfUpstreams
    | ChangedOrder
    | RegistrationAges
    | LostReport
    | LossNews
    | CrashReport
    | ContentServed
    | SuspectNews
    | QuarantineNews
    | OrderNews
    | LoadReport
    | LoadShare
    | LoadTotals
    | LoanRequest
    | LoanReply
    | RateLimitNews
    | GrantRequest
    | GrantReply
    | VersionQuery
    | VersionReply
    | DocumentPull
    | DocumentPush
)
