"""Decoding of configuration documents, heartbeats and deregistrations."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from returns.result import Failure, Success

from ledgeladder.model import ResultCode
from ledgeladder.model.registration import Holding, UpstreamState
from ledgeladder.model.traffic import RequestKind
from ledgeladder.platform.configuration import decode_configuration
from ledgeladder.platform.registrations import decode_deregistration, decode_heartbeat, upstream_of
from standins.discovered_fleet import example_document

HEARTBEAT = {
    "service": "engines",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "routeType": "small",
    "layers": {"from": 14, "targetVersion": 21, "version": 1},
    "unknown": {"more": [1]},
}


def test_document_is_converted_to_the_internal_model() -> None:
    decoded = decode_configuration(json.dumps(example_document(7) | {"later": 1}).encode())
    assert isinstance(decoded, Success)
    configuration = decoded.unwrap()
    assert configuration.version == 7
    draft = configuration.routes[0]
    assert draft.kind is RequestKind.STREAM
    assert draft.repeatable
    assert draft.timeout == 8.0
    assert not configuration.routes[2].repeatable
    engine = configuration.pools["engines"].engine
    assert engine is not None
    assert engine.cards["big"].memory_mb == 12_000
    assert configuration.accounts[0].name == "designers"


def broken(change: str) -> Any:
    """Return a document with one fault."""
    document = copy.deepcopy(example_document(3))
    route = document["routes"][1]
    match change:
        case "no-version":
            del document["version"]
        case "negative-version":
            document["version"] = -1
        case "same-place":
            document["routes"].append(route | {"name": "again"})
        case "zero-weight":
            route["trafficSplit"] = [{"service": "services", "weight": 0}]
        case "negative-weight":
            route["trafficSplit"] = [{"service": "services", "weight": -1}]
        case "unknown-service":
            route["service"] = "missing"
        case "no-service":
            del route["service"]
        case "zero-timeout":
            route["timeoutMs"] = 0
        case "shared-key":
            document["tenants"].append(
                {"name": "other", "apiKeys": document["tenants"][0]["apiKeys"]}
            )
        case "unknown-type":
            route["routeType"] = "sometimes"
        case "routes-not-a-list":
            document["routes"] = {"a": 1}
    return document


@pytest.mark.parametrize(
    "change",
    [
        "no-version",
        "negative-version",
        "same-place",
        "zero-weight",
        "negative-weight",
        "unknown-service",
        "no-service",
        "zero-timeout",
        "shared-key",
        "unknown-type",
        "routes-not-a-list",
    ],
)
def test_invalid_document_is_refused_with_its_code(change: str) -> None:
    refused = decode_configuration(json.dumps(broken(change)).encode())
    assert isinstance(refused, Failure)
    assert refused.failure().code is ResultCode.CHANGE_INVALID
    assert refused.failure().detail


@pytest.mark.parametrize("body", [b"", b"{", b"null", b"\xff", b"[" * 5000, b'{"version":1}'])
def test_malformed_document_is_refused(body: bytes) -> None:
    assert isinstance(decode_configuration(body), Failure)


def test_truncated_document_is_refused() -> None:
    whole = json.dumps(example_document(3)).encode()
    for length in range(0, len(whole), 37):
        assert isinstance(decode_configuration(whole[:length]), Failure)


def test_instances_with_the_same_id_have_different_names() -> None:
    decoded = decode_heartbeat("i-1", json.dumps(HEARTBEAT | {"born": 1_700_000_000_000}).encode())
    registration = decoded.unwrap()
    assert registration.upstream == "i-1"
    assert registration.started_ms == 1_700_000_000_000
    assert registration.instance != "i-1"
    assert upstream_of(registration.instance) == "i-1"
    without = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).unwrap()
    assert (without.instance, without.started_ms) == ("i-1", 0)


@pytest.mark.parametrize(
    ("body", "instance"),
    [(b"", "i-1"), (b"oops", "i-1"), (b'{"born":"x"}', "i-1"), (b'{"born":7}', "i-1#7")],
)
def test_deregistration_applies_to_the_instance_that_it_names(body: bytes, instance: str) -> None:
    exited = decode_deregistration("i-1", body)
    assert (exited.instance, exited.upstream) == (instance, "i-1")
    assert exited.state is UpstreamState.EXITED


OTHER_ORIGINS = [
    *({name: None} for name in ("service", "address", "zone", "version", "state", "sequence")),
    *({name: 7} for name in ("service", "address", "zone", "version", "state", "stage")),
    *({name: "7"} for name in ("sequence", "slots", "born", "coldRemainingMs", "models", "layers")),
    {"born": 1.5},
    {"born": -1},
    {"born": True},
    {"sequence": -1},
    {"state": "resting"},
    {"service": ""},
]
"""Changes of a heartbeat that show another origin; None removes a field."""


@pytest.mark.parametrize("change", OTHER_ORIGINS)
def test_heartbeat_of_another_origin_is_refused(change: dict[str, Any]) -> None:
    heartbeat = {name: value for name, value in (HEARTBEAT | change).items() if value is not None}
    refused = decode_heartbeat("i-1", json.dumps(heartbeat).encode())
    assert refused.failure().code is ResultCode.REGISTRATION_INVALID


def test_heartbeat_is_decoded_with_and_without_layers() -> None:
    decoded = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert isinstance(decoded, Success)
    registration = decoded.unwrap()
    assert registration.holdings == (Holding(first=14, end=21),)
    assert registration.card == "small"
    assert registration.state is UpstreamState.READY
    empty = decode_heartbeat("i-1", json.dumps(HEARTBEAT | {"layers": None}).encode())
    assert empty.unwrap().holdings == ()


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"address": "nowhere"},
        {"address": "10.0.0.1:x"},
        {"address": "10.0.0.1:70000"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:²"},
        {"address": "10.0.0.1:" + "9" * 3000},
        {"address": "\0:80"},
        {"address": "\ud800:80"},
        {"address": "ä..b:80"},
        {"address": "engine.example:80"},
        {"sequence": "4"},
        {"service": None},
        {"layers": "all"},
        {"padding": "x" * 4096},
    ],
)
def test_malformed_heartbeat_is_refused(change: dict[str, Any]) -> None:
    """Guards also against an address that fails in each task that connects to it."""
    refused = decode_heartbeat("i-1", json.dumps(HEARTBEAT | change).encode())
    assert isinstance(refused, Failure)
    assert refused.failure().code is ResultCode.REGISTRATION_INVALID
