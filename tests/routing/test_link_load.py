"""Inter-domain links accept requests up to a utilization limit."""

from __future__ import annotations

import msgspec
import pytest

from ledgeladder.model.registration import Holding, Registration
from ledgeladder.routing.forwarding_table import ForwardedUpstream
from ledgeladder.routing.link_load import (
    DECAY_SECONDS,
    NEW_REQUEST_LIMIT,
    RESUMED_STREAM_LIMIT,
    LinkLoad,
    link_utilization,
    record_transfer,
)
from ledgeladder.routing.path_costs import PathRequest
from ledgeladder.routing.paths import choose_path, explain_no_path

from .sample_site import PROFILE

TRANSFER_SECONDS = 0.05
NARROW_LINKS = msgspec.structs.replace(
    PROFILE, layer_mb=250.0, activation_bytes=50_000, domain_link_bytes_per_s=774 * 1e6
)
"""Transferring a prompt of 774 tokens takes `TRANSFER_SECONDS` on a link."""


def make_engine(domain: str, first: int) -> ForwardedUpstream:
    registration = Registration(
        instance=f"{domain}{first}",
        sequence=1,
        pool="p",
        address=f"{domain}{first}:1",
        failure_domain=domain,
        card="fast",
        holdings=(Holding(first=first, end=first + 40),),
    )
    return ForwardedUpstream(registration=registration, last_seen_at=0.0)


POOL = [make_engine("a", 0), make_engine("b", 40), make_engine("c", 40)]


def make_request(load: LinkLoad, boxes: int, limit: float = NEW_REQUEST_LIMIT) -> PathRequest:
    return PathRequest(
        prompt_tokens=774,
        answer_tokens=200,
        failure_domain="a",
        link_utilization=link_utilization(load, boxes, 1.0),
        link_limit=limit,
    )


def test_utilization_counts_all_boxes_and_decays() -> None:
    load = LinkLoad()
    record_transfer(load, NARROW_LINKS, ["a", "a", "b", "a"], 774, 1.0)
    assert link_utilization(load, 4, 1.0) == {("a", "b"): pytest.approx(4 * 2 * TRANSFER_SECONDS)}
    later = link_utilization(load, 4, 1.0 + DECAY_SECONDS)
    assert later["a", "b"] == pytest.approx(4 * 2 * TRANSFER_SECONDS / 2.718, rel=0.01)
    assert link_utilization(load, 4, 100.0) == {}


def test_less_used_link_is_preferred_and_full_links_refuse() -> None:
    load = LinkLoad()
    used_domains = []
    while (path := choose_path(NARROW_LINKS, POOL, make_request(load, 4), 1.0)) is not None:
        domains = [engine.registration.failure_domain for engine in path.engines]
        used_domains.append(domains[1])
        record_transfer(load, NARROW_LINKS, domains, 774, 1.0)
        assert len(used_domains) < 100
    # Each request counts as 0.2 s per second for four boxes, so four of them fill a link.
    assert sorted(used_domains) == ["b"] * 4 + ["c"] * 4
    assert used_domains[:2] in (["b", "c"], ["c", "b"])
    why = explain_no_path(NARROW_LINKS, POOL, make_request(load, 4), 1.0)
    assert "full links a-b, a-c" in str(why)
    assert why.is_out_of_capacity


def test_resumed_streams_may_use_reserved_capacity() -> None:
    load = LinkLoad()
    for _ in range(4):
        record_transfer(load, NARROW_LINKS, ["a", "b"], 774, 1.0)
        record_transfer(load, NARROW_LINKS, ["a", "c"], 774, 1.0)
    assert choose_path(NARROW_LINKS, POOL, make_request(load, 4), 1.0) is None
    assert (
        choose_path(NARROW_LINKS, POOL, make_request(load, 4, RESUMED_STREAM_LIMIT), 1.0)
        is not None
    )


def test_links_of_unknown_bandwidth_are_unlimited() -> None:
    unknown = msgspec.structs.replace(NARROW_LINKS, domain_link_bytes_per_s=0.0)
    load = LinkLoad()
    for _ in range(1000):
        record_transfer(load, unknown, ["a", "b"], 774, 1.0)
    assert choose_path(unknown, POOL, make_request(load, 400), 1.0) is not None
