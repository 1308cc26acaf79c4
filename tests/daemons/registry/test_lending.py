"""Grants of retry quota by a registry, by purpose."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.registry import lending
from ledgeladder.daemons.registry.lending import handle_quota_request
from ledgeladder.links.messages import RetryQuotaReply, RetryQuotaRequest

RESERVE = 200.0
VOTERS = 5
GRANTABLE = 24
"""Retries that each voter grants of the reserve."""


class EntryLink:
    """A link that records the replies to an entry box."""

    peer_box = "entry-1"

    def __init__(self) -> None:
        self.replies: list[RetryQuotaReply] = []

    def post(self, message: RetryQuotaReply) -> None:
        self.replies.append(message)


def grant(monkeypatch: pytest.MonkeyPatch, *requests: tuple[int, bool]) -> list[int]:
    """Return what a voter grants, of requests given as count and purpose."""
    monkeypatch.setattr(lending, "may_grant", lambda _state: True)
    monkeypatch.setattr(lending, "version_age", lambda _state: 0.0)
    monkeypatch.setattr(lending, "count_granting_voters", lambda _state: VOTERS)
    bounds = SimpleNamespace(repeat_reserve=RESERVE, repeat_window_seconds=10.0)
    link: Any = EntryLink()

    async def run() -> None:
        state: Any = SimpleNamespace(
            voter_since=anyio.current_time() - 12.0,
            quota_ledgers={},
            settings=SimpleNamespace(bounds=bounds),
        )
        for call, (count, started) in enumerate(requests):
            message = RetryQuotaRequest(call=call, pool="p", count=count, started=started)
            handle_quota_request(state, link, message)

    anyio.run(run)
    return [reply.count for reply in link.replies]


def test_new_requests_leave_quota_for_begun_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    """A wave of refused requests asks for all; then streams are interrupted."""
    counts = grant(monkeypatch, (1, True), (32, False), (32, False), (32, True))
    assert counts == [1, GRANTABLE // 2, 0, GRANTABLE // 2 - 1]


def test_begun_streams_are_granted_all(monkeypatch: pytest.MonkeyPatch) -> None:
    assert grant(monkeypatch, (32, True), (32, False)) == [GRANTABLE, 0]
