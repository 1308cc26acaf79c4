"""Links between failure domains take requests up to a share of what they carry."""

from __future__ import annotations

import msgspec
import pytest

from ledgeladder.model.registration import Holding, Registration
from ledgeladder.routing.forwarding_table import ForwardedUpstream
from ledgeladder.routing.link_load import (
    FIRST_LIMIT,
    MEMORY_SECONDS,
    RESUME_LIMIT,
    LinkLoad,
    link_use,
    note_crossings,
)
from ledgeladder.routing.path_costs import PathRequest
from ledgeladder.routing.paths import choose_path, explain_no_path

from .sample_site import PROFILE

TRANSFER_SECONDS = 0.05
CROWDED = msgspec.structs.replace(
    PROFILE, layer_mb=250.0, activation_bytes=50_000, pipe_bytes_per_s=774 * 1e6
)
"""A prompt of 774 tokens takes 0.05 s on a link."""


def half(domain: str, first: int) -> ForwardedUpstream:
    registration = Registration(
        instance=f"{domain}{first}",
        sequence=1,
        pool="p",
        address=f"{domain}{first}:1",
        failure_domain=domain,
        card="fast",
        holdings=(Holding(first=first, end=first + 40),),
    )
    return ForwardedUpstream(registration=registration, heard_at=0.0)


POOL = [half("a", 0), half("b", 40), half("c", 40)]


def wanted(load: LinkLoad, boxes: int, limit: float = FIRST_LIMIT) -> PathRequest:
    return PathRequest(
        prompt_tokens=774,
        answer_tokens=200,
        failure_domain="a",
        link_use=link_use(load, boxes, 1.0),
        link_limit=limit,
    )


def test_what_all_boxes_send_counts_and_is_forgotten() -> None:
    load = LinkLoad()
    note_crossings(load, CROWDED, ["a", "a", "b", "a"], 774, 1.0)
    assert link_use(load, 4, 1.0) == {("a", "b"): pytest.approx(4 * 2 * TRANSFER_SECONDS)}
    later = link_use(load, 4, 1.0 + MEMORY_SECONDS)
    assert later["a", "b"] == pytest.approx(4 * 2 * TRANSFER_SECONDS / 2.718, rel=0.01)
    assert link_use(load, 4, 100.0) == {}


def test_fuller_link_is_passed_by_and_full_ones_refuse_at_once() -> None:
    load = LinkLoad()
    chosen = []
    while (path := choose_path(CROWDED, POOL, wanted(load, 4), 1.0)) is not None:
        domains = [engine.registration.failure_domain for engine in path.engines]
        chosen.append(domains[1])
        note_crossings(load, CROWDED, domains, 774, 1.0)
        assert len(chosen) < 100
    # Four boxes send 0.2 s of every second a request each: four of these fill a link.
    assert sorted(chosen) == ["b"] * 4 + ["c"] * 4
    assert chosen[:2] in (["b", "c"], ["c", "b"])
    why = explain_no_path(CROWDED, POOL, wanted(load, 4), 1.0)
    assert "full links a-b, a-c" in str(why)
    assert why.for_want_of_room


def test_streams_that_have_begun_take_the_rest() -> None:
    load = LinkLoad()
    for _ in range(4):
        note_crossings(load, CROWDED, ["a", "b"], 774, 1.0)
        note_crossings(load, CROWDED, ["a", "c"], 774, 1.0)
    assert choose_path(CROWDED, POOL, wanted(load, 4), 1.0) is None
    assert choose_path(CROWDED, POOL, wanted(load, 4, RESUME_LIMIT), 1.0) is not None


def test_links_of_unknown_width_take_everything() -> None:
    unknown = msgspec.structs.replace(CROWDED, pipe_bytes_per_s=0.0)
    load = LinkLoad()
    for _ in range(1000):
        note_crossings(load, unknown, ["a", "b"], 774, 1.0)
    assert choose_path(unknown, POOL, wanted(load, 400), 1.0) is not None
