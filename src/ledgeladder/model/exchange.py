"""What a caller's request and an upstream's answer say, whatever their names on the wire."""

from __future__ import annotations

import msgspec


class CallerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's request says beside its method, path and body."""

    attempt_id: str
    """Id of this attempt of the caller, for logs and for telling answers apart."""

    host: str
    """Host that the caller asks for, in lower case and without a port."""

    path: str
    """Path without the query."""

    timeout: float | None
    """How long the caller waits, in seconds, or None if it does not say."""

    key: str | None
    """Key of a client account, or None."""

    resume_after: int | None
    """Id of the last event that the caller has, if it resumes a stream."""

    prompt_tokens: int = 0
    """Tokens of the prompt."""

    answer_tokens: int = 0
    """Most tokens of the answer."""


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of its load in an answer."""

    running: int
    """Requests that it works on."""

    waiting: int
    """Requests that wait for a slot."""

    slots: int
    """Requests that it works on at once."""


class AdvertisedRate(msgspec.Struct, frozen=True, kw_only=True):
    """How many requests a second an upstream says in an answer that it takes from all boxes."""

    rate: float | None
    """Requests a second; infinite if it names no bound, None if the figure cannot be read."""


class AnswerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of an upstream's answer says beside its status."""

    attempt_id: str
    """Attempt that it belongs to; empty if it does not say."""

    signed: bool
    """True if the upstream signed it as its own."""

    not_run: bool
    """True if the upstream says that it has not run the request."""

    wrong_upstream: bool
    """True if another run of an upstream has the address."""

    failed_upstream: str
    """Address of the upstream at fault on a path of several; empty if not told."""

    load: UpstreamLoad | None
    """Load of the upstream, if told."""

    keep_alive_seconds: float | None
    """How long the upstream keeps an idle connection, if told; 0 if it closes it."""

    backoff_seconds: float | None = None
    """How long the upstream wants nothing more from this box, if it refused and said so."""

    draining: bool = False
    """True if the upstream says that it ends soon and must get no new work."""

    advertised_rate: AdvertisedRate | None = None
    """Requests a second that the upstream takes from all boxes together, if it names any."""


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """What the system adds to a request before it sends it to an upstream."""

    instance: str
    """Run of the upstream that must answer."""

    account: str | None
    """Client account that the key belongs to."""

    timeout: float
    """How long the upstream may work, in seconds."""

    priority: int | None
    """Rank, 0 being the most urgent."""

    path: tuple[PathPart, ...] = ()
    """Engines that the request passes; empty for a plain service."""

    resume_after: int | None = None
    """Id of the last event that the caller has."""


class PathPart(msgspec.Struct, frozen=True, kw_only=True):
    """Layers that one engine runs for a request."""

    instance: str
    """Run of the engine."""

    address: str
    """`host:port` of the engine."""

    first: int
    """First layer."""

    end: int
    """One past the last layer."""
