"""Datagrams of other boxes that cannot be handled."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination import membership as protocol
from ledgeladder.daemons.entry import membership_driver
from ledgeladder.links.datagrams import seal

SECRET = "loopback-secret-0123456789"


def new_context() -> Any:
    settings = SimpleNamespace(cluster=SimpleNamespace(secret=SECRET))
    counts = SimpleNamespace(events={}, gossip_bytes_received=0, gossip_bytes_sent=0)
    return SimpleNamespace(settings=settings, metrics=counts)


def new_membership(name: str) -> protocol.Membership:
    return protocol.Membership(
        name=name, failure_domain="d", address="127.0.0.1:7000", seeds=("127.0.0.1:7001",)
    )


def test_datagram_that_cannot_be_handled_ends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a box that leaves the membership each time another box sends a datagram."""
    handled: list[str] = []
    data = seal(SECRET, protocol.join(new_membership("b"))[0].message)

    def receive(membership: Any, message: Any, now: float) -> list[protocol.Datagram]:
        handled.append("tried")
        if len(handled) == 1:
            raise KeyError("planted")
        return []

    async def datagrams() -> Any:
        for _ in range(2):
            yield data, ("127.0.0.2", 7000)

    async def send(replies: list[protocol.Datagram]) -> None:
        handled.append("answered")

    monkeypatch.setattr(protocol, "receive", receive)
    arguments: Any = (new_context(), new_membership("a"), datagrams(), send)
    anyio.run(membership_driver._receive, *arguments)
    assert handled == ["tried", "tried", "answered"]
