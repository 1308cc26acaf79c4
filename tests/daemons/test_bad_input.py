"""Malformed input fails one request or closes one connection, and affects no other request."""

from __future__ import annotations

import json
import os
import random
import socket
import time

import anyio
import pytest

from ledgeladder.coordination.commands import ChangeCommand
from ledgeladder.links import Link, LinkIdentity, open_link
from ledgeladder.links.datagrams import seal
from ledgeladder.links.frames import encode_frame
from ledgeladder.links.messages import (
    CommandReply,
    CommandRequest,
    Hello,
    LinkMessage,
    PeerRole,
)
from ledgeladder.model import ChangeDocument, ResultCode
from standins.fleet import SECRET, Fleet, wait_until

from .callers import KEY, Stream, answer_is_right, complete

GOOD = {"model": "captions", "prompt": "x", "max_tokens": 4}


def post(fleet: Fleet, content: bytes, path: str = "/v1/completions", **headers: str):
    url = f"{fleet.url('entry-a1')}{path}"
    return fleet.client.post(url, content=content, headers=KEY | headers)


@pytest.mark.parametrize(
    ("content", "kind"),
    [
        (b"{", "malformed_request"),
        (b"[]", "malformed_request"),
        (b"\xff\xfe", "malformed_request"),
        (json.dumps(GOOD | {"max_tokens": 0}).encode(), "malformed_request"),
        (json.dumps(GOOD | {"max_tokens": 10**9}).encode(), "malformed_request"),
        (json.dumps(GOOD | {"prompt": 7}).encode(), "malformed_request"),
        (json.dumps(GOOD | {"model": "nothing"}).encode(), "unknown_pipeline"),
        (json.dumps(GOOD | {"model": "previews"}).encode(), "unknown_pipeline"),
        (json.dumps(GOOD | {"prompt": "x" * 2_000_000}).encode(), "body_too_large"),
        (b"[" * 100_000, "malformed_request"),
    ],
)
def test_bad_bodies(healed: Fleet, content: bytes, kind: str) -> None:
    response = post(healed, content)
    assert response.json()["error"]["type"] == kind
    assert response.headers["ledgeladder-execution"] == "not-run"


@pytest.mark.parametrize(
    ("authorization", "kind"),
    [("", "key_missing"), ("Basic abc", "key_missing"), ("Bearer no-such-key", "key_unknown")],
)
def test_bad_keys(healed: Fleet, authorization: str, kind: str) -> None:
    response = post(healed, json.dumps(GOOD).encode(), authorization=authorization)
    assert response.json()["error"]["type"] == kind


def test_unknown_page(healed: Fleet) -> None:
    assert post(healed, b"", "/v2/nothing").json()["error"]["type"] == "not_found"


def connect_to(fleet: Fleet, name: str) -> socket.socket:
    host, _, port = fleet.addresses[name].rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def test_floods_and_incomplete_requests_affect_no_other_request(healed: Fleet) -> None:
    stream = Stream(fleet=healed, entry="entry-a1", prompt="undisturbed", count=60)
    flood = connect_to(healed, "entry-a1")
    flood.sendall(b"POST /v1/completions HTTP/1.1\r\n")
    try:
        for number in range(3000):
            flood.sendall(b"x-%d: %s\r\n" % (number, b"y" * 100))
        answer = flood.recv(100)
    except OSError:
        answer = b""
    assert answer == b"" or b" 4" in answer.split(b"\r\n")[0]
    incomplete_requests = [connect_to(healed, "entry-a1") for _ in range(20)]
    for incomplete in incomplete_requests:
        incomplete.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{"
        )
    binary = connect_to(healed, "entry-a1")
    binary.sendall(os.urandom(4096))
    stream.join()
    assert stream.is_complete, stream.error
    for incomplete in incomplete_requests:
        incomplete.close()


def test_caller_that_stops_reading_affects_no_other_request(healed: Fleet) -> None:
    body = json.dumps(GOOD | {"max_tokens": 1000, "stream": True})
    stalled = connect_to(healed, "entry-a1")
    stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    stalled.sendall(
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer key-of-nilayam\r\n"
        + f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    time.sleep(0.5)
    assert answer_is_right(complete(healed, "entry-a1", "beside it", 8), "beside it", 8)
    stalled.close()


@pytest.mark.parametrize("name", ["entry-a1/link", "control-1/link"])
def test_garbage_on_links(healed: Fleet, name: str) -> None:
    rng = random.Random(7)
    hello = Hello(
        cluster="fleet",
        role=PeerRole.CONTROL,
        box="control-9",
        failure_domain="domain-a",
        instance="x",
        nonce=b"1" * 16,
        proof=b"2" * 32,
    )
    garbage_items = [
        rng.randbytes(200),
        b"\x00\x00\x00\x05hello",
        b"\xff\xff\xff\xff",
        encode_frame(hello),
        encode_frame(hello) * 2,
        b"\x00\x00\x00\x00" * 50,
    ]
    for garbage in garbage_items:
        with connect_to(healed, name) as link:
            link.sendall(garbage)
            link.settimeout(10)
            received = b""
            try:
                while data := link.recv(4096):
                    received += data
            except OSError:
                pass
            assert b"welcome" not in received
    assert healed.wait_leader()
    assert answer_is_right(complete(healed, "entry-a1", "after garbage", 4), "after garbage", 4)


def test_incomplete_body_is_answered(healed: Fleet) -> None:
    incomplete = connect_to(healed, "entry-a1")
    incomplete.settimeout(40)
    incomplete.sendall(
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer key-of-nilayam\r\nContent-Length: 500\r\n\r\n{"
    )
    assert incomplete.recv(100).startswith(b"HTTP/1.1 400")
    incomplete.close()


def test_entry_cannot_change_the_configuration(healed: Fleet) -> None:
    """The cluster secret alone must not authorize configuration changes."""
    leader = healed.wait_leader()
    before = healed.status(leader)
    command = ChangeCommand(
        change=ChangeDocument(change_id="from-an-entry", base_version=before["version"]),
        operator="nobody",
        time_ms=1,
    )
    replies: list[LinkMessage] = []

    async def ask(link: Link) -> None:
        link.post(CommandRequest(call=7, command=command))
        replies.append(await link.receive())

    identity = LinkIdentity(
        cluster="fleet",
        role=PeerRole.ENTRY,
        box="entry-x",
        failure_domain="domain-a",
        instance="x",
        secret=SECRET,
    )
    anyio.run(open_link, healed.addresses[f"{leader}/link"], identity, ask)
    assert replies == [CommandReply(call=7, result=None, code=ResultCode.FRAME_INVALID)]
    assert healed.status(leader)["version"] == before["version"]


def test_garbage_datagrams_are_counted(healed: Fleet) -> None:
    from ledgeladder.coordination.membership import Digest, Gossip, MemberStatus, MemberUpdate

    host, _, port = healed.addresses["entry-a1/link"].rpartition(":")
    forged = Digest(
        sender="x",
        gossip=Gossip(
            members=(
                MemberUpdate(
                    name="entry-b1",
                    failure_domain="domain-b",
                    address="127.0.0.1:1",
                    incarnation=2**60,
                    status=MemberStatus.LEFT,
                ),
            )
        ),
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in (b"", b"x" * 10, os.urandom(500), seal("another-secret-entirely", forged)):
            sender.sendto(data, (host, int(port)))
    url = f"{healed.url('entry-a1')}/metrics"

    def refused() -> int:
        return int(healed.client.get(url).json()["events"].get("datagrams-refused", 0))

    wait_until(lambda: refused() >= 3, 10, "refused datagrams to be counted")
    assert answer_is_right(complete(healed, "entry-a1", "after", 4), "after", 4)
