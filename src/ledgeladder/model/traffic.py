"""Configuration of forwarded traffic: routes, pools of upstreams, engines and client accounts.

An operator publishes it as one document with a version; the highest version is in force.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RequestKind(StrEnum):
    """Whether a request with an unknown outcome may be retried."""

    REPEATABLE = "repeatable"
    """It is idempotent and may run more than once."""

    ONCE = "once"
    """It must run at most once."""

    STREAM = "stream"
    """It is answered by a stream of events."""


class PoolWeight(msgspec.Struct, frozen=True, kw_only=True):
    """Share of a route's requests that goes to one pool."""

    pool: str
    """Name of the pool."""

    weight: float
    """Share, relative to the other weights of the route."""


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """Which requests a route matches, their pools and their limits."""

    name: str
    """Name of the route."""

    host: str
    """Requested host."""

    path_prefix: str
    """Prefix of the path, with a slash at both ends."""

    kind: RequestKind
    """Whether requests may be retried, and how they are answered."""

    resumable: bool
    """True if a broken stream may be continued on another upstream."""

    timeout: float
    """Maximum time from acceptance of a request to the end of its answer, in seconds."""

    target_latency: float
    """Expected time to the answer or to the first event, in seconds."""

    gap_target: float
    """Maximum time between events that callers expect, in seconds; 0 if none is set."""

    priority: int
    """Priority rank; 0 is the most urgent."""

    pools: tuple[PoolWeight, ...]
    """Pools that serve the requests, with their weights."""

    max_attempts: int
    """Maximum number of upstreams that one request may be sent to."""

    public: bool
    """True if no key is needed."""

    @property
    def repeatable(self) -> bool:
        """True if the same request may safely run twice."""
        return self.kind is RequestKind.REPEATABLE or (
            self.kind is RequestKind.STREAM and self.resumable
        )


class CardKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of accelerator."""

    name: str
    """Name of the kind."""

    memory_mb: float
    """Memory for layers and KV cache, in megabytes."""

    step_factor: float
    """Factor on the time of a decoding step given in the engine profile."""

    prefill_factor: float
    """Factor on the prefill time of a prompt given in the engine profile."""


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and memory of the engines of one pool."""

    model: str
    """Name of the model."""

    layers: int
    """Number of layers of the model."""

    layer_mb: float
    """Memory for the weights of one layer, in megabytes."""

    kv_token_bytes: float
    """Size of one token in the KV cache over all layers, in bytes."""

    step_ms: float
    """Time of one decoding step through all layers, in milliseconds."""

    step_ms_per_request: float
    """Time added to a step by each running request, in milliseconds."""

    prefill_tokens_per_s: float
    """Prefill throughput through all layers, in prompt tokens per second."""

    steps_per_pass: int
    """Decoding steps in one pass of an engine; an event carries as many tokens."""

    load_seconds: float
    """Time to load all layers, in seconds."""

    parallel_loads: int
    """Number of concurrent loads that run at full speed."""

    mean_prompt_tokens: float
    """Mean length of a prompt, in tokens."""

    mean_answer_tokens: float
    """Mean length of an answer, in tokens."""

    activation_bytes: float = 0.0
    """Size of the activations that an engine forwards per token, in bytes."""

    domain_link_bytes_per_s: float = 0.0
    """Bandwidth between two failure domains, shared by all requests, in bytes per second; 0 if the
    document does not give it."""

    slots: int = 0
    """Maximum number of concurrent requests of an engine; 0 if only its KV cache limits them. It is
    not part of the document: engines report it when they register."""

    cards: dict[str, CardKind] = msgspec.field(default_factory=dict)
    """Kinds of accelerators by name."""

    delays: dict[tuple[str, str], float] = msgspec.field(default_factory=dict)
    """One-way delay between failure domains, in seconds, with an entry for each direction."""


class UpstreamPool(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of interchangeable upstreams."""

    name: str
    """Name of the pool."""

    max_connections: int
    """Maximum number of connections to one upstream, over all boxes."""

    engine: EngineProfile | None
    """Profile of the engines, or None for a plain service."""


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits and timeouts for callers."""

    header_bytes: int = 16384
    """Maximum size of a request head, in bytes."""

    body_bytes: int = 4 * 1024 * 1024
    """Maximum size of a request body, in bytes."""

    header_seconds: float = 3.0
    """Maximum time from the first byte of a request head to its last, in seconds."""

    idle_seconds: float = 15.0
    """Maximum time that a connection may be idle between requests, in seconds."""


class AccountKeys(msgspec.Struct, frozen=True, kw_only=True):
    """A client account and its keys."""

    name: str
    """Name of the client account."""

    keys: tuple[str, ...]
    """Valid keys."""

    priority: int | None
    """Priority rank that overrides that of the route, or None."""


class TrafficConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A decoded configuration document."""

    version: int
    """Version; the highest one is in force."""

    routes: tuple[RouteRule, ...]
    """All routes."""

    pools: dict[str, UpstreamPool]
    """Pools by name."""

    limits: CallerLimits
    """Limits for callers."""

    accounts: tuple[AccountKeys, ...]
    """Client accounts; if there are none, no key is needed."""
