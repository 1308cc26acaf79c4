"""Configuration of forwarded traffic: routes, pools of upstreams, engines and client accounts.

An operator publishes it as one whole document with a version; the highest version is in force.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RequestKind(StrEnum):
    """What may be done with a request whose outcome is not known."""

    REPEATABLE = "repeatable"
    """It may run more than once."""

    ONCE = "once"
    """It runs at most once."""

    STREAM = "stream"
    """It is answered by a series of events."""


class PoolWeight(msgspec.Struct, frozen=True, kw_only=True):
    """Share of a route's requests that goes to one pool."""

    pool: str
    """Name of the pool."""

    weight: float
    """Share, relative to the other weights of the route."""


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """Which requests go where, and under which limits."""

    name: str
    """Name of the route."""

    host: str
    """Host that the caller asks for."""

    path_prefix: str
    """Start of the path, with a slash at both ends."""

    kind: RequestKind
    """What may be repeated."""

    resumable: bool
    """True if a broken stream may be continued on another upstream."""

    timeout: float
    """Longest time that a request is held, in seconds."""

    target_latency: float
    """Time to the answer or to the first event that callers expect, in seconds."""

    gap_target: float
    """Longest pause between events that callers expect, in seconds; 0 if none is set."""

    priority: int
    """Rank; 0 is the most urgent."""

    pools: tuple[PoolWeight, ...]
    """Where the requests go."""

    max_attempts: int
    """Most upstreams that one request may run on."""

    public: bool
    """True if no key is needed."""

    @property
    def repeatable(self) -> bool:
        """True if a second run of the same request does no harm."""
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
    """How many times longer a decoding step takes than the engine's figures say."""

    prefill_factor: float
    """How many times longer reading a prompt takes than the engine's figures say."""


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and memory of the engines of one pool."""

    model: str
    """Name of the model."""

    layers: int
    """Layers of the model."""

    layer_mb: float
    """Memory of one layer, in megabytes."""

    kv_token_bytes: float
    """KV cache of one token over all layers, in bytes."""

    step_ms: float
    """Time of one decoding step through all layers, in milliseconds."""

    step_ms_per_request: float
    """Added to a step for each running request, in milliseconds."""

    prefill_tokens_per_s: float
    """Prompt tokens that are read a second, through all layers."""

    steps_per_pass: int
    """Steps in one pass of an engine, which is also the number of tokens in one event."""

    load_seconds: float
    """Time to load all layers."""

    parallel_loads: int
    """Loads that run side by side at full speed."""

    mean_prompt_tokens: float
    """Mean length of a prompt, in tokens."""

    mean_answer_tokens: float
    """Mean length of an answer, in tokens."""

    activation_bytes: float = 0.0
    """What an engine hands on for each token, in bytes."""

    domain_link_bytes_per_s: float = 0.0
    """Bytes a second that pass between two failure domains, shared by all requests; 0 if the
    document does not say."""

    slots: int = 0
    """Requests that an engine runs at once; 0 if its KV cache alone bounds them. The document does
    not say: engines tell when they register."""

    cards: dict[str, CardKind] = msgspec.field(default_factory=dict)
    """Kinds of accelerators by name."""

    delays: dict[tuple[str, str], float] = msgspec.field(default_factory=dict)
    """One-way delay between failure domains, in seconds; both directions are held."""


class UpstreamPool(msgspec.Struct, frozen=True, kw_only=True):
    """Upstreams that stand in for each other."""

    name: str
    """Name of the pool."""

    max_connections: int
    """Connections that one upstream accepts from all boxes together."""

    engine: EngineProfile | None
    """Figures of the engines, or None for a plain service."""


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or rest."""

    header_bytes: int = 16384
    """Longest request head, in bytes."""

    body_bytes: int = 4 * 1024 * 1024
    """Longest request body, in bytes."""

    header_seconds: float = 3.0
    """Longest time from the first byte of a head to its last."""

    idle_seconds: float = 15.0
    """How long a connection may rest between requests."""


class AccountKeys(msgspec.Struct, frozen=True, kw_only=True):
    """A client account and the keys that prove it."""

    name: str
    """Name of the client account."""

    keys: tuple[str, ...]
    """Valid keys."""

    priority: int | None
    """Rank that goes before the rank of the route, or None."""


class TrafficConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One published document, decoded."""

    version: int
    """Version; the highest one is in force."""

    routes: tuple[RouteRule, ...]
    """All routes."""

    pools: dict[str, UpstreamPool]
    """Pools by name."""

    limits: CallerLimits
    """Bounds for callers."""

    accounts: tuple[AccountKeys, ...]
    """Client accounts; without any, no key is needed."""
