"""Validation reports every wrong key, with the allowed values."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from ledgeladder.model.validation import MISSING, Fault, check_model


class Peer(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    name: Annotated[str, msgspec.Meta(min_length=2)]
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)] = 1


class Page(msgspec.Struct, kw_only=True):
    folder: Path
    own: Peer
    peers: Annotated[tuple[Peer, ...], msgspec.Meta(max_length=2)] = ()
    wait: Annotated[float, msgspec.Meta(gt=0)] | None = None


GOOD = {"folder": "/data", "own": {"name": "ab"}}


def faults(content: object) -> dict[str, str]:
    found = check_model(content, Page).failure()
    assert all(isinstance(fault, Fault) for fault in found)
    return {fault.key: fault.message for fault in found}


def test_valid_content_is_converted() -> None:
    page = check_model(
        GOOD | {"wait": "1.5", "peers": [{"name": "cd", "port": "7"}]}, Page
    ).unwrap()
    assert page.folder == Path("/data")
    assert page.wait == 1.5
    assert page.peers == (Peer(name="cd", port=7),)


def test_every_wrong_key_is_reported() -> None:
    content = {
        "own": {"name": "a", "colour": "red"},
        "peers": [{"name": "ab"}, {"name": "cd", "port": 0}],
        "wait": 0,
    }
    assert faults(content) == {
        "folder": MISSING,
        "own.name": "Expected `str` of length >= 2",
        "own.colour": "unknown key",
        "peers.1.port": "Expected `int` >= 1",
        "wait": "Expected `float` > 0.0",
    }


def test_wrong_types_of_lists_and_sections_are_reported() -> None:
    three = [{"name": "ab"}] * 3
    assert faults(GOOD | {"peers": three}) == {"peers": "Expected `array` of length <= 2"}
    assert list(faults(GOOD | {"peers": "none"})) == ["peers"]
    assert list(faults(GOOD | {"own": 3})) == ["own"]
    assert list(faults([])) == [""]
    assert list(faults(GOOD | {"folder": 3})) == ["folder"]
