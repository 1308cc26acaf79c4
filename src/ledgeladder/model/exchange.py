"""Facts read from requests and answers, and fields added to requests, free of wire names."""

from __future__ import annotations

from typing import Final

import msgspec

FINAL_STATUSES: Final = range(200, 600)
"""HTTP statuses of final answers (RFC 9110, section 15). Bytes with another one are no answer."""

MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Longest body of a plain answer, which is kept in memory until it is complete."""


class CallerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Facts from the head of a caller's request."""

    attempt_id: str
    """Id of this attempt of the caller, for logs and for matching answers to requests."""

    host: str
    """Requested host, in lower case and without a port."""

    path: str
    """Path without the query."""

    timeout: float | None
    """How long the caller waits, in seconds, or None if not given."""

    key: str | None
    """Key of a client account, or None."""

    resume_after: int | None
    """Id of the last event that the caller received, if it resumes a stream."""

    prompt_tokens: int = 0
    """Number of tokens of the prompt."""

    answer_tokens: int = 0
    """Maximum number of tokens of the answer."""

    prompt_parts: tuple[str, ...] = ()
    """Ids of the parts of the prompt, in order; requests share them."""


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an upstream, as reported in an answer."""

    running: int
    """Number of requests that it runs."""

    waiting: int
    """Number of requests that wait for a slot."""

    slots: int
    """Maximum number of concurrent requests."""


class AdvertisedRate(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limit over all boxes, as an upstream advertises it in an answer."""

    rate: float | None
    """Requests per second; infinite if there is no limit, None if the value cannot be parsed."""


class AnswerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Facts from the head of an upstream's answer, besides its status."""

    attempt_id: str
    """Id of the attempt that it answers; empty if not given."""

    signed: bool
    """True if the upstream signed the answer, which intermediaries cannot do."""

    not_run: bool
    """True if the upstream states that it has not run the request."""

    promises_unproved: bool = False
    """True if its status would tell the caller that the request was not run, without the upstream
    stating that."""

    wrong_upstream: bool
    """True if another instance now listens at the address."""

    failed_upstream: str
    """Address of the upstream that failed on a path of several; empty if not given."""

    load: UpstreamLoad | None
    """Load of the upstream, if reported."""

    keep_alive_seconds: float | None
    """How long the upstream keeps an idle connection, in seconds; 0 if it closes it, None if not
    given."""

    backoff_seconds: float | None = None
    """Back-off that the upstream requests from this box with a refusal, in seconds."""

    draining: bool = False
    """True if the upstream is about to stop and must get no new requests."""

    advertised_rate: AdvertisedRate | None = None
    """Rate limit over all boxes, if the upstream advertises one."""


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that the system adds to a request that it forwards to an upstream."""

    instance: str
    """Instance of the upstream that must answer."""

    account: str | None
    """Client account that the key belongs to."""

    timeout: float
    """How long the upstream may run the request, in seconds."""

    priority: int | None
    """Priority rank, 0 being the most urgent."""

    path: tuple[PathPart, ...] = ()
    """Engines that run the request, in order; empty for a plain service."""

    resume_after: int | None = None
    """Id of the last event that the caller received, if it resumes a stream."""


class PathPart(msgspec.Struct, frozen=True, kw_only=True):
    """Layers that one engine runs for a request."""

    instance: str
    """Instance of the engine."""

    address: str
    """`host:port` of the engine."""

    first: int
    """First layer."""

    end: int
    """One past the last layer."""
