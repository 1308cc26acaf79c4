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
from ..model.demand import PoolDemand
from ..model.registration import Holding, Liveness


class PeerRole(StrEnum):
    """Kind of process at the other end of a link."""

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
    """Random name of this instance of the process."""

    nonce: bytes
    proof: bytes
    """Proof that the sender holds the shared secret, over both nonces."""


class Welcome(msgspec.Struct, frozen=True, kw_only=True, tag="welcome", array_like=True):
    """Response to a `Hello`, with the accepting side's proof."""

    box: str
    proof: bytes


class LogMessage(msgspec.Struct, frozen=True, kw_only=True, tag="log", array_like=True):
    """A message of the replicated log."""

    envelope: Envelope


class JoinRequest(msgspec.Struct, frozen=True, kw_only=True, tag="join", array_like=True):
    """Requests that the sender, a control box that is not a member, becomes a learner."""

    member_id: str


class VersionHead(msgspec.Struct, frozen=True, kw_only=True, tag="head", array_like=True):
    """Version and digest of the sender's newest configuration."""

    version: int
    digest: bytes


class DeltaPush(msgspec.Struct, frozen=True, kw_only=True, tag="deltas", array_like=True):
    """Changes that follow the receiver's version."""

    deltas: tuple[Delta, ...]


class FullPush(msgspec.Struct, frozen=True, kw_only=True, tag="full", array_like=True):
    """A whole configuration."""

    configuration: Configuration


class Pull(msgspec.Struct, frozen=True, kw_only=True, tag="pull", array_like=True):
    """Requests all changes after the version that the sender has in force."""

    version: int
    full: bool = False
    """True to request the whole configuration, as after a digest mismatch."""


class InForce(msgspec.Struct, frozen=True, kw_only=True, tag="in-force", array_like=True):
    """Reports which version a box has in force."""

    box: str
    failure_domain: str
    instance: str
    version: int


class InForceReport(msgspec.Struct, frozen=True, kw_only=True, tag="report", array_like=True):
    """Reports to other control boxes which versions the boxes connected here have in force."""

    boxes: tuple[InForce, ...]


class CommandRequest(msgspec.Struct, frozen=True, kw_only=True, tag="command?", array_like=True):
    """Requests that the leader commits a command."""

    call: int
    command: Command


class CommandReply(msgspec.Struct, frozen=True, kw_only=True, tag="command", array_like=True):
    """Outcome of a command."""

    call: int
    result: Result | None
    """Result, or None if the command was not committed here."""

    code: ResultCode = ResultCode.OK
    """Reason for a missing result."""

    leader: str = ""
    """Box of the leader; empty if unknown."""


class FencedOrder(msgspec.Struct, frozen=True, kw_only=True, tag="order?", array_like=True):
    """Requests that the gate forwards an order to an engine that does not check fences itself."""

    upstream: str
    address: str
    term: int
    index: int
    assignment: Assignment


class OrderOutcome(msgspec.Struct, frozen=True, kw_only=True, tag="order", array_like=True):
    """Outcome of an order at the gate."""

    upstream: str
    term: int
    index: int
    done: bool


class TermQuery(msgspec.Struct, frozen=True, kw_only=True, tag="term?", array_like=True):
    """Queries the current term of a control box."""

    call: int


class TermReply(msgspec.Struct, frozen=True, kw_only=True, tag="term", array_like=True):
    """A control box's current term."""

    call: int
    term: int
    voters: int
    """Number of voters known to the sender; a majority of them must reply."""

    is_voter: bool


class PeerHint(msgspec.Struct, frozen=True, kw_only=True, tag="peers", array_like=True):
    """Link addresses of control boxes, for processes without a configured list."""

    addresses: tuple[str, ...]
    domains: dict[str, str] = {}
    """Failure domains by address, as far as the sender knows them."""

    reads_demand: bool = False
    """Whether the sender knows `DemandReport`, `DemandShare` and `FullReport`. Boxes of an earlier
    version close a link on which a message of an unknown type arrives."""

    reads_parts: bool = False
    """Whether the sender knows crash reports on parts of prompts. Boxes of an earlier version would
    blame a part as soon as they blame a whole content."""

    entries: tuple[str, ...] = ()
    """IP addresses of some entry boxes, which may relay connections to upstreams."""


class RegistrationUpdate(
    msgspec.Struct, frozen=True, kw_only=True, tag="upstreams", array_like=True
):
    """Registrations as upstreams reported them, with their ages."""

    reported: tuple[Liveness, ...]

    number: int = 0
    """Number of the broadcast, which the receiver confirms once it holds the registrations; 0 if no
    receipt is wanted."""


class HoldReceipt(msgspec.Struct, frozen=True, kw_only=True, tag="receipt", array_like=True):
    """Confirms that the sender holds a broadcast of registrations and all earlier ones."""

    number: int


class UpstreamIndexPush(msgspec.Struct, frozen=True, kw_only=True, tag="known", array_like=True):
    """Index of upstreams to which the sender's next ages and loads refer."""

    index: UpstreamIndex


class IndexChangePush(msgspec.Struct, frozen=True, kw_only=True, tag="known+", array_like=True):
    """Change to the index that the sender pushed before."""

    change: IndexChange


class RegistrationAges(msgspec.Struct, frozen=True, kw_only=True, tag="ages", array_like=True):
    """Time since the last heartbeat of each upstream in the sender's index."""

    index_number: int
    """Number of the sender's index of upstreams."""

    ages: bytes
    """Ages as encoded by `pack_ages`."""


class RelayOutcome(StrEnum):
    """Whether a box relays a connection to an upstream."""

    OPEN = "open"
    """The connection to the upstream is open."""

    REFUSED = "refused"
    """No process listens at the upstream's address; the box reaches other upstreams."""

    UNREACHABLE = "unreachable"
    """The upstream does not accept a connection; the box reaches other upstreams."""

    CUT = "cut"
    """The box reaches no upstream at all, so that it cannot tell."""

    NOT_REGISTERED = "not-registered"
    """The box knows no such upstream."""

    FULL = "full"
    """The box relays as many connections as it may."""

    STOPPING = "stopping"
    """The box is stopping."""


class RelayRequest(msgspec.Struct, frozen=True, kw_only=True, tag="relay?", array_like=True):
    """Requests that the receiver, an entry box, connects the sender with an upstream.

    The receiver opens the connection itself and never through a third box.
    """

    instance: str
    """Instance of the upstream."""

    address: str
    """Its `host:port`. Both must be registered at the receiver."""

    seconds: float
    """Timeout for connecting to the upstream."""

    request: str = ""
    """Id of the caller's attempt, for the log; empty for a connection that checks reachability."""


class RelayReply(msgspec.Struct, frozen=True, kw_only=True, tag="relay", array_like=True):
    """Outcome of a relay request.

    If it is open, raw bytes of the request and frames of the answer follow.
    """

    outcome: RelayOutcome


class LossReport(msgspec.Struct, frozen=True, kw_only=True, tag="lost", array_like=True):
    """Reports that an entry box found an upstream unreachable."""

    instance: str


class LossUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="gone", array_like=True):
    """Announces that several entry boxes found an engine unreachable."""

    instance: str


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, tag="ended", array_like=True):
    """Reports that an upstream exited while running a request."""

    fingerprint: bytes
    """Fingerprint of the request content, or of a part of its prompt."""

    instance: str
    """Instance of the upstream."""

    content: bytes = b""
    """Fingerprint of the whole content, if `fingerprint` is that of a part."""

    answered_lately: bool = False
    """Whether the sender saw a request with that part answered shortly before."""


class ContentServed(msgspec.Struct, frozen=True, kw_only=True, tag="served", array_like=True):
    """Reports that a request was answered whose content had been blamed for crashes."""

    fingerprint: bytes
    """Fingerprint of the request content."""


class SuspectUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="suspect", array_like=True):
    """Announces that several upstreams exited while running the same request content."""

    fingerprint: bytes
    """Fingerprint of the request content."""

    crashes: int
    """Number of crashes, counted over the requests of all entry boxes."""


class QuarantineUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="held", array_like=True):
    """All request contents in quarantine, which no upstream may be sent."""

    seconds_left: dict[bytes, float]
    """Seconds until the quarantine ends, by fingerprint."""


class OrderUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="ordered", array_like=True):
    """Announces layers that the leader ordered an engine to load."""

    instance: str
    holding: Holding
    load_seconds: float
    """Predicted time to load the layers, in seconds."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, tag="load", array_like=True):
    """Load of the sender's requests on each upstream."""

    loads: dict[str, LoadFigures]


class LoadShare(msgspec.Struct, frozen=True, kw_only=True, tag="share", array_like=True):
    """Load of all entry boxes that report to the sender, for other control boxes."""

    index_number: int
    """Number of the sender's index of upstreams."""

    loads: bytes
    """Loads as encoded by `pack_loads`."""

    entries: int
    """Number of entry boxes that report to the sender."""


class LoadTotals(msgspec.Struct, frozen=True, kw_only=True, tag="loads", array_like=True):
    """Load of the requests of all entry boxes on each upstream."""

    index_number: int
    """Number of the sender's index of upstreams."""

    loads: bytes
    """Loads as encoded by `pack_loads`."""


class DemandReport(msgspec.Struct, frozen=True, kw_only=True, tag="demand", array_like=True):
    """Demand that the sender, an entry box, received.

    It also tells that the sender knows `DemandTotals` and `FullNotice`.
    """

    pools: dict[str, PoolDemand]
    """Demand by pool; only pools whose room is shared by priority."""


class DemandShare(msgspec.Struct, frozen=True, kw_only=True, tag="demand-share", array_like=True):
    """Demand at the entry boxes that report to the sender, for other control boxes."""

    domains: dict[str, dict[str, PoolDemand]]
    """Demand by failure domain of the entry boxes and by pool."""

    entries: int = 0
    """Number of these entry boxes."""


class DemandTotals(msgspec.Struct, frozen=True, kw_only=True, tag="demands", array_like=True):
    """Demand at all entry boxes."""

    pools: dict[str, PoolDemand]
    """Demand by pool."""

    entries: int = 0
    """Number of entry boxes whose reports are included."""


class FullReport(msgspec.Struct, frozen=True, kw_only=True, tag="full?", array_like=True):
    """Reports that engines refused requests of the sender for lack of room."""

    instances: tuple[str, ...]
    """Instances of the engines."""


class FullNotice(msgspec.Struct, frozen=True, kw_only=True, tag="full!", array_like=True):
    """Announces engines that refused requests for lack of room."""

    instances: tuple[str, ...]
    """Instances of the engines."""


class RetryQuotaRequest(msgspec.Struct, frozen=True, kw_only=True, tag="lend?", array_like=True):
    """Requests retries beyond the base quota of an entry box."""

    call: int
    pool: str
    count: int
    started: bool = True
    """Whether the retries are for streams whose caller has part of the answer. A part of the quota
    is kept for them."""


class RetryQuotaReply(msgspec.Struct, frozen=True, kw_only=True, tag="lend", array_like=True):
    """Number of retries that a voter grants; unused ones expire soon after the request was sent."""

    call: int
    count: int


class RateLimitUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="rates", array_like=True):
    """Rate limits that upstreams advertise or have withdrawn."""

    limits: dict[str, ReportedLimit]
    """Known limits by instance of the upstream."""


class GrantRequest(msgspec.Struct, frozen=True, kw_only=True, tag="grants?", array_like=True):
    """Requests rate grants for upstreams that advertise a limit."""

    call: int
    counts: dict[str, int]
    """Number of requests to send, by instance of the upstream."""

    limits: dict[str, ReportedLimit]
    """Limits known to the sender, by instance of the upstream."""


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests to one upstream that a voter grants."""

    count: int
    """Number of requests that may be sent within `GRANT_TTL_SECONDS` of the grant request."""

    wait: float
    """Mean time until the next request is granted, in seconds."""

    limit: ReportedLimit
    """Limit of the upstream as known to the sender."""


class GrantReply(msgspec.Struct, frozen=True, kw_only=True, tag="grants", array_like=True):
    """Requests that a voter grants."""

    call: int
    grants: dict[str, Grant]
    """Grants by instance of the upstream; empty if the sender cannot confirm the limits."""


class VersionQuery(msgspec.Struct, frozen=True, kw_only=True, tag="newest?", array_like=True):
    """Queries the newest published version."""

    call: int


class VersionReply(msgspec.Struct, frozen=True, kw_only=True, tag="newest", array_like=True):
    """The newest published version that the sender can confirm."""

    call: int
    version: int
    age: float | None
    """Seconds since the version was confirmed; None if the sender cannot confirm any."""

    entries: int = 1
    """Number of entry boxes known to the sender, among which shared budgets are split."""


class DocumentPull(msgspec.Struct, frozen=True, kw_only=True, tag="document?", array_like=True):
    """Requests the published document if it is newer than a version."""

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
    | RegistrationUpdate
    | HoldReceipt
    | UpstreamIndexPush
    | IndexChangePush
    | RegistrationAges
    | RelayRequest
    | RelayReply
    | LossReport
    | LossUpdate
    | CrashReport
    | ContentServed
    | SuspectUpdate
    | QuarantineUpdate
    | OrderUpdate
    | LoadReport
    | LoadShare
    | LoadTotals
    | DemandReport
    | DemandShare
    | DemandTotals
    | FullReport
    | FullNotice
    | RetryQuotaRequest
    | RetryQuotaReply
    | RateLimitUpdate
    | GrantRequest
    | GrantReply
    | VersionQuery
    | VersionReply
    | DocumentPull
    | DocumentPush
)
