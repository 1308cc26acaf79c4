"""Cost of the membership, routing and configuration code, measured in this process."""

from __future__ import annotations

import random
import time

import msgspec
from returns.result import Success

from ledgeladder.coordination.claims import Claim, canonical_key
from ledgeladder.coordination.state_machine import ClusterState, decode_state, encode_state
from ledgeladder.model import (
    ClientAccount,
    Configuration,
    ObjectSet,
    Pipeline,
    Upstream,
    UpstreamKind,
    apply_objects,
    digest,
)
from ledgeladder.routing.chain import better_of_two, choose_route, eligible_engines
from ledgeladder.routing.upstream_table import UpstreamTable, update_upstreams
from standins.keys import new_key
from standins.membership_network import Network

from .fit import Slope

NODES = 410
DOMAINS = 6
REPLICAS = 600
ACCOUNTS = 2100
LAYERS = 64
IDLE_SECONDS = 10.0


def engine(number: int, layers: int = LAYERS) -> Upstream:
    """Return an engine that holds a quarter of the layers."""
    quarter = layers // 4
    first = number % 4 * quarter
    return Upstream(
        name=f"engine-{number}",
        kind=UpstreamKind.ENGINE,
        address=f"10.0.{number // 250}.{number % 250}:9000",
        failure_domain=f"domain-{number % DOMAINS}",
        model="m",
        first_layer=first,
        end_layer=first + quarter,
        layers_per_second=1000.0 * (1 + number % 3),
    )


def account(number: int) -> ClientAccount:
    """Return a client account."""
    return ClientAccount(name=f"account-{number}", key_sha256=f"{number:064x}")


def configuration(accounts: int, upstreams: int) -> Configuration:
    """Return a configuration with numbers of accounts and upstreams."""
    put = ObjectSet(
        accounts=tuple(account(number) for number in range(accounts)),
        upstreams=tuple(engine(number) for number in range(upstreams)),
        pipelines=(Pipeline(name="p", model="m", layers=LAYERS),),
    )
    return apply_objects(Configuration(), put, ())


def measure_membership() -> list[Slope]:
    """Measure traffic and processor time of the idle membership protocol, for each node."""
    sent: list[tuple[float, float]] = []
    used: list[tuple[float, float]] = []
    for nodes in (12, 24, 48, 96, 192, NODES):
        per_domain = -(-nodes // DOMAINS)
        network = Network(seed=1, domains=DOMAINS, per_domain=per_domain)
        network.run(15.0)
        network.bytes_sent = 0
        started = time.process_time()
        network.run(IDLE_SECONDS)
        node_seconds = per_domain * DOMAINS * IDLE_SECONDS
        used.append((nodes, (time.process_time() - started) / node_seconds * 1e6))
        sent.append((nodes, network.bytes_sent / node_seconds))
    return [
        Slope(
            name="membership-bytes",
            what="membership bytes sent a second a node, at rest",
            against="nodes",
            points=sent,
            target=NODES,
            target_measured=True,
        ),
        Slope(
            name="membership-processor",
            what="membership core, microseconds a second a node (both sides of the network)",
            against="nodes",
            points=used,
            target=NODES,
            target_measured=True,
        ),
    ]


def measure_route_choice() -> Slope:
    """Measure the time of a route choice against the number of engines."""
    points: list[tuple[float, float]] = []
    for replicas in (12, 48, 150, 300, REPLICAS):
        table = UpstreamTable()
        built = configuration(1, replicas)
        update_upstreams(table, built)
        pipeline = built.pipelines["p"]
        pick = better_of_two(random.Random(1))
        rounds = 100
        started = time.perf_counter()
        for _ in range(rounds):
            engines = eligible_engines(table, pipeline, 1.0, allowed=lambda view: True)
            assert isinstance(choose_route(engines, LAYERS, pick), Success)
        points.append((replicas, (time.perf_counter() - started) / rounds * 1e6))
    return Slope(
        name="route",
        what="choosing a route, microseconds a request",
        against="engines",
        points=points,
        target=REPLICAS,
        target_measured=True,
    )


def measure_configuration() -> list[Slope]:
    """Measure size and digest time of the configuration against client accounts."""
    sizes: list[tuple[float, float]] = []
    times: list[tuple[float, float]] = []
    for accounts in (10, 250, 500, 1000, ACCOUNTS):
        built = configuration(accounts, REPLICAS)
        sizes.append((accounts, len(msgspec.msgpack.encode(built)) / 1024))
        started = time.perf_counter()
        for _ in range(20):
            digest(built)
        times.append((accounts, (time.perf_counter() - started) / 20 * 1000))
    return [
        Slope(
            name="configuration-size",
            what="whole configuration with 600 upstreams, KB",
            against="client accounts",
            points=sizes,
            target=ACCOUNTS,
            target_measured=True,
        ),
        Slope(
            name="configuration-digest",
            what="digest of the configuration, ms",
            against="client accounts",
            points=times,
            target=ACCOUNTS,
            target_measured=True,
        ),
    ]


def measure_snapshots() -> list[Slope]:
    """Measure size and encoding time of a snapshot against claims with responses of 200 bytes."""
    sizes: list[tuple[float, float]] = []
    times: list[tuple[float, float]] = []
    for claims in (1000, 5000, 10_000, 20_000, 50_000):
        state = ClusterState()
        account_claims = state.claims.claims.setdefault("account", {})
        for _ in range(claims):
            account_claims[canonical_key(new_key())] = Claim(
                body_digest=b"0" * 16,
                attempt="0" * 24,
                deadline_ms=1,
                ended=True,
                status=200,
                content_type="application/json",
                body=b"x" * 200,
            )
        started = time.perf_counter()
        data = encode_state(state)
        times.append((claims, (time.perf_counter() - started) * 1000))
        sizes.append((claims, len(data) / 1024 / 1024))
        assert decode_state(data) == state
    return [
        Slope(
            name="snapshot-size",
            what="snapshot, MB",
            against="claims held",
            points=sizes,
            target=100_000,
        ),
        Slope(
            name="snapshot-time",
            what="encoding a snapshot, ms",
            against="claims held",
            points=times,
            target=100_000,
        ),
    ]
