"""Who is answered when about the newest version.

The pattern: all boxes lose their power and start together. Gateways ask before there is a leader;
each wait for another question is time without service on all of them.
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
    """A link that keeps what is posted on it."""

    def __init__(self, role: str = "entry") -> None:
        self.posted: list[Any] = []
        self.peer = SimpleNamespace(role=SimpleNamespace(value=role))

    def post(self, message: Any) -> None:
        self.posted.append(message)


def registry(link: Recorder) -> Any:
    node = SimpleNamespace(
        state=SimpleNamespace(published=SimpleNamespace(version=4)),
        replica=SimpleNamespace(is_leader=True),
        leader_box="",
    )
    peers = SimpleNamespace(links={})
    return SimpleNamespace(node=node, peers=peers, entry_links={id(link): link}, pending_queries={})


@pytest.fixture
def knowledge(monkeypatch: pytest.MonkeyPatch) -> dict[str, float | None]:
    """What the registry knows: the age of its knowledge, or None."""
    held: dict[str, float | None] = {"age": None}
    monkeypatch.setattr(published_version, "version_age", lambda _state: held["age"])
    monkeypatch.setattr(published_version, "count_entries", lambda _state: 1)
    return held


def reply(call: int, age: float | None) -> VersionReply:
    return VersionReply(call=call, version=4, age=age, entries=1)


def test_newest_open_question_is_answered_once_the_box_is_sure(
    knowledge: dict[str, float | None],
) -> None:
    link = Recorder()
    state = registry(link)
    for call in (7, 8):
        handle_version_query(state, link, VersionQuery(call=call))
    assert link.posted == [reply(7, None), reply(8, None)]
    knowledge["age"] = 0.0
    answer_pending_queries(state)
    assert link.posted[2:] == [reply(8, 0.0)]
    answer_pending_queries(state)
    assert len(link.posted) == 3


def test_questions_of_control_boxes_and_of_lost_links_are_not_kept(
    knowledge: dict[str, float | None],
) -> None:
    link = Recorder(role="control")
    state = registry(link)
    handle_version_query(state, link, VersionQuery(call=1))
    assert not state.pending_queries
    link = Recorder()
    handle_version_query(state, link, VersionQuery(call=2))
    knowledge["age"] = 0.0
    answer_pending_queries(state)
    assert len(link.posted) == 1


def test_box_that_is_not_sure_looks_again_soon(
    monkeypatch: pytest.MonkeyPatch, knowledge: dict[str, float | None]
) -> None:
    pauses: list[float] = []

    async def sleep(seconds: float) -> None:
        pauses.append(seconds)
        knowledge["age"] = {1: published_version.STALE_AFTER_SECONDS + 1.0, 2: 0.0}.get(len(pauses))
        if len(pauses) == 3:
            raise TimeoutError

    monkeypatch.setattr(published_version.anyio, "sleep", sleep)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await poll_leader(registry(Recorder()))

    anyio.run(run)
    assert pauses == [
        published_version.STALE_POLL_SECONDS,
        published_version.STALE_POLL_SECONDS,
        published_version.VERSION_POLL_SECONDS,
    ]


def test_publication_goes_to_the_next_leader_as_soon_as_there_is_one() -> None:
    """The pattern: the leader loses its power under a publication, and another one is elected.

    The box that passed it on waited for the answer of the first for the whole 3 s.
    """

    class NextLeader(Recorder):
        """Confirms what it is asked to commit."""

        def post(self, message: Any) -> None:
            super().post(message)
            result = PublishResult(version=5, in_force=True)
            handle_command_reply(state, CommandReply(call=message.call, result=result))

    lost, following = Recorder(), NextLeader()
    state = registry(Recorder())
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
