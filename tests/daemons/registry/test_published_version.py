"""Version queries and publications while there is no leader yet.

After a restart of all boxes, gateways query before a leader is elected and serve nothing until they
are answered.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination.commands import PublishResult
from ledgeladder.daemons.registry import published_version
from ledgeladder.daemons.registry.published_version import (
    answer_pending_queries,
    handle_command_reply,
    handle_version_query,
    poll_leader,
    publish,
)
from ledgeladder.links.messages import CommandReply, VersionQuery, VersionReply


class Recorder:
    """A link that records the posted messages."""

    def __init__(self, role: str = "entry") -> None:
        self.posted: list[Any] = []
        self.peer = SimpleNamespace(role=SimpleNamespace(value=role))

    def post(self, message: Any) -> None:
        self.posted.append(message)


def build_state(link: Recorder) -> Any:
    node = SimpleNamespace(
        state=SimpleNamespace(published=SimpleNamespace(version=4)),
        replica=SimpleNamespace(is_leader=True),
        leader_box="",
    )
    peers = SimpleNamespace(links={})
    return SimpleNamespace(node=node, peers=peers, entry_links={id(link): link}, pending_queries={})


@pytest.fixture
def version_freshness(monkeypatch: pytest.MonkeyPatch) -> dict[str, float | None]:
    """Age of the registry's newest version, under the key `age`; None while it is unknown."""
    freshness: dict[str, float | None] = {"age": None}
    monkeypatch.setattr(published_version, "version_age", lambda _state: freshness["age"])
    monkeypatch.setattr(published_version, "count_entries", lambda _state: 1)
    return freshness


def reply(call: int, age: float | None) -> VersionReply:
    return VersionReply(call=call, version=4, age=age, entries=1)


def test_newest_pending_query_is_answered_once_the_version_is_known(
    version_freshness: dict[str, float | None],
) -> None:
    link = Recorder()
    state = build_state(link)
    for call in (7, 8):
        handle_version_query(state, link, VersionQuery(call=call))
    assert link.posted == [reply(7, None), reply(8, None)]
    version_freshness["age"] = 0.0
    answer_pending_queries(state)
    assert link.posted[2:] == [reply(8, 0.0)]
    answer_pending_queries(state)
    assert len(link.posted) == 3


def test_queries_of_control_boxes_and_of_closed_links_are_dropped(
    version_freshness: dict[str, float | None],
) -> None:
    link = Recorder(role="control")
    state = build_state(link)
    handle_version_query(state, link, VersionQuery(call=1))
    assert not state.pending_queries
    link = Recorder()
    handle_version_query(state, link, VersionQuery(call=2))
    version_freshness["age"] = 0.0
    answer_pending_queries(state)
    assert len(link.posted) == 1


def test_box_with_stale_version_polls_more_often(
    monkeypatch: pytest.MonkeyPatch, version_freshness: dict[str, float | None]
) -> None:
    pauses: list[float] = []

    async def sleep(seconds: float) -> None:
        pauses.append(seconds)
        version_freshness["age"] = {1: published_version.STALE_AFTER_SECONDS + 1.0, 2: 0.0}.get(
            len(pauses)
        )
        if len(pauses) == 3:
            raise TimeoutError

    monkeypatch.setattr(published_version.anyio, "sleep", sleep)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await poll_leader(build_state(Recorder()))

    anyio.run(run)
    assert pauses == [
        published_version.STALE_POLL_SECONDS,
        published_version.STALE_POLL_SECONDS,
        published_version.VERSION_POLL_SECONDS,
    ]


def test_publication_is_forwarded_to_a_newly_elected_leader() -> None:
    """A box must not wait for the reply of a failed leader once another one is elected."""

    class NextLeader(Recorder):
        """Confirms every command immediately."""

        def post(self, message: Any) -> None:
            super().post(message)
            result = PublishResult(version=5, in_force=True)
            handle_command_reply(state, CommandReply(call=message.call, result=result))

    lost, following = Recorder(), NextLeader()
    state = build_state(Recorder())
    state.node.replica.is_leader = False
    state.node.leader_box = "lost"
    state.peers.links = {"lost": lost, "next": following}
    state.next_call, state.waiters = 1, {}

    async def elect() -> None:
        await anyio.wait_all_tasks_blocked()
        state.node.leader_box = ""
        await anyio.wait_all_tasks_blocked()
        state.node.leader_box = "next"

    async def run() -> Any:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(elect)
            with anyio.fail_after(published_version.PUBLISH_TIMEOUT_SECONDS / 2):
                return await publish(state, 5, b"{}")

    assert anyio.run(run).unwrap().version == 5
    assert [len(lost.posted), len(following.posted)] == [1, 1]
    assert state.waiters == {}
