"""Decodes the document of the operator into a `TrafficConfiguration`."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec
from returns.result import Failure, Result, Success

from ..model import MALFORMED_ERRORS, Problem, ResultCode
from ..model.traffic import (
    AccountKeys,
    CallerLimits,
    CardKind,
    EngineProfile,
    PoolWeight,
    RequestKind,
    RouteRule,
    TrafficConfiguration,
    UpstreamPool,
)

BYTES_PER_MEGABIT: Final = 125_000.0

MILLISECONDS: Final = 1000.0
Positive = Annotated[float, msgspec.Meta(gt=0)]

REQUEST_KINDS: Final = {
    "safe": RequestKind.REPEATABLE,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}


# The classes below use the field names of the platform; `_convert` maps them to the internal model.
class _Split(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: Positive
    target_latency_ms: float = 0.0
    priority: int = 5
    service: str | None = None
    traffic_split: list[_Split] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = msgspec.field(default=0.0, name="gap_aim_ms")


class _Model(msgspec.Struct):
    name: str
    load_s: float = 0.0


class _Kind(msgspec.Struct):
    name: str
    mb: float
    pace: float = 1.0
    read_x: float = 1.0


class _Delay(msgspec.Struct):
    source: str = msgspec.field(name="from")
    # The other failure domain; the platform also uses this key for the end of a layer range.
    target: str = msgspec.field(name="targetVersion")
    delay_ms: float = 0.0


class _Usual(msgspec.Struct):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    models: list[_Model] = []
    kv_token_bytes: float = msgspec.field(default=0.0, name="kvTokenBytes")
    stride: int = 1
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    read_per_s: float = 100_000.0
    loads_at_once: int = 1
    delays: list[_Delay] = []
    usual: _Usual = msgspec.field(default_factory=_Usual)
    layers: int = 0
    layer_mb: float = 0.0
    act_bytes: float = 0.0
    pipe_mbps: float = 0.0
    kinds: list[_Kind] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: int = msgspec.field(default=100, name="maxConnections")
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    keys: list[str] = msgspec.field(default_factory=list, name="apiKeys")
    priority: int | None = None


class _Document(msgspec.Struct):
    # Larger numbers can be decoded from JSON, but not be encoded for the log.
    version: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_DECODER: Final = msgspec.json.Decoder(_Document)


def decode_configuration(body: bytes) -> Result[TrafficConfiguration, Problem]:
    """Decode and validate a document.

    Args:
        body: The document as the operator sent it.

    Returns:
        The configuration, or a problem with code CHANGE_INVALID that describes the fault.
    """
    try:
        document = _DECODER.decode(body)
    except MALFORMED_ERRORS as error:
        return _invalid(str(error))
    fault = _find_fault(document)
    if fault:
        return _invalid(fault)
    return Success(_convert(document))


def _invalid(detail: str) -> Failure[Problem]:
    return Failure(Problem(code=ResultCode.CHANGE_INVALID, detail=detail))


def _splits(route: _Route) -> list[_Split]:
    """Return the services of a route with their weights; a split overrides a single service."""
    if route.traffic_split:
        return route.traffic_split
    return [_Split(service=route.service, weight=1.0)] if route.service else []


def _find_fault(document: _Document) -> str:
    """Return why a document is inconsistent, or an empty string."""
    services = {service.name for service in document.services}
    if len(services) < len(document.services):
        return "two services have the same name"
    seen: set[tuple[str, str]] = set()
    for route in document.routes:
        prefix_key = (route.host.lower(), route.path_prefix)
        if prefix_key in seen:
            return f"two routes for {route.host}{route.path_prefix}"
        seen.add(prefix_key)
        if route.route_type not in REQUEST_KINDS:
            return f"route {route.name}: unknown type {route.route_type}"
        splits = _splits(route)
        if sum(split.weight for split in splits) <= 0:
            return f"route {route.name}: the weights sum to 0"
        unknown = [split.service for split in splits if split.service not in services]
        if unknown:
            return f"route {route.name}: unknown service {unknown[0]}"
    keys = [key for tenant in document.tenants for key in tenant.keys]
    if len(set(keys)) < len(keys):
        return "a key belongs to two client accounts"
    return ""


def _convert(document: _Document) -> TrafficConfiguration:
    limits = document.limits
    return TrafficConfiguration(
        version=document.version,
        routes=tuple(_convert_route(route) for route in document.routes),
        pools={service.name: _convert_service(service) for service in document.services},
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_ms / MILLISECONDS,
            idle_seconds=limits.idle_timeout_ms / MILLISECONDS,
        ),
        accounts=tuple(
            AccountKeys(name=tenant.name, keys=tuple(tenant.keys), priority=tenant.priority)
            for tenant in document.tenants
        ),
    )


def _convert_route(route: _Route) -> RouteRule:
    return RouteRule(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=REQUEST_KINDS[route.route_type],
        resumable=route.resumable,
        timeout=route.timeout_ms / MILLISECONDS,
        target_latency=route.target_latency_ms / MILLISECONDS,
        gap_target=route.gap_aim_ms / MILLISECONDS,
        priority=route.priority,
        pools=tuple(
            PoolWeight(pool=split.service, weight=split.weight) for split in _splits(route)
        ),
        max_attempts=max(1, route.max_attempts),
        public=route.public,
    )


def _convert_service(service: _Service) -> UpstreamPool:
    engine = service.engine
    profile = _convert_engine(engine) if engine is not None and engine.layers > 0 else None
    return UpstreamPool(name=service.name, max_connections=service.max_connections, engine=profile)


def _convert_engine(engine: _Engine) -> EngineProfile:
    """Convert the profile of an engine; of several models only the first one is used."""
    delays: dict[tuple[str, str], float] = {}
    for delay in engine.delays:
        seconds = delay.delay_ms / MILLISECONDS
        delays[delay.source, delay.target] = seconds
        delays[delay.target, delay.source] = seconds
    model = engine.models[0] if engine.models else _Model(name="")
    return EngineProfile(
        model=model.name,
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        kv_token_bytes=engine.kv_token_bytes,
        step_ms=engine.step_ms,
        step_ms_per_request=engine.per_seq_ms,
        prefill_tokens_per_s=engine.read_per_s,
        steps_per_pass=engine.stride,
        load_seconds=model.load_s,
        parallel_loads=engine.loads_at_once,
        mean_prompt_tokens=engine.usual.prompt,
        mean_answer_tokens=engine.usual.answer,
        activation_bytes=engine.act_bytes,
        domain_link_bytes_per_s=engine.pipe_mbps * BYTES_PER_MEGABIT,
        cards={
            kind.name: CardKind(
                name=kind.name,
                memory_mb=kind.mb,
                step_factor=kind.pace,
                prefill_factor=kind.read_x,
            )
            for kind in engine.kinds
        },
        delays=delays,
    )
