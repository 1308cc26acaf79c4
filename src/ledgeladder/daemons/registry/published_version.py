"""Being sure of the newest version, and publishing a new one, from any control box."""

from __future__ import annotations

import logging
import zlib
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure, Result, Success

from ...coordination import raft
from ...coordination.commands import PublishCommand, PublishResult
from ...coordination.freshness import handle_reply, open_query
from ...links.messages import CommandReply, CommandRequest, VersionQuery, VersionReply
from ...model import Problem, ResultCode
from .. import clock
from ..clock import wall_clock_ms
from ..control.node import submit
from .load_totals import count_entries
from .state import CommandWaiter

if TYPE_CHECKING:
    from ...links import Link
    from .state import RegistryState

logger = logging.getLogger(__name__)

VERSION_POLL_SECONDS: Final = 0.4
"""How often a box that does not lead asks the leader for the newest version."""

STALE_POLL_SECONDS: Final = 0.05
"""The same while this box is not sure, as after a start or the loss of the leader: about a round
trip between failure domains and a sync of the leader's disk. Little is served meanwhile."""

STALE_AFTER_SECONDS: Final = 2.0 * VERSION_POLL_SECONDS
"""Age of what is known from which on a question to the leader was lost, or there is none."""

READ_POLL_SECONDS: Final = 0.02
"""How often a reader that waits looks for the answer."""

PUBLISH_TIMEOUT_SECONDS: Final = 3.0
"""How long a publication may take before its sender is told that it is not confirmed. Below the
4 s within which the platform wants an acknowledgement, so that a second try fits in."""

LEADER_POLL_SECONDS: Final = 0.05
"""How often a publication that found no leader, or was not confirmed by one, tries again."""


def is_up_to_date_leader(state: RegistryState) -> bool:
    """Tell whether this box leads, holds its lease and has applied everything committed."""
    replica = state.node.replica
    if not replica.is_leader or not raft.holds_lease(replica, clock.now()):
        return False
    own_term = replica.log.term_at(replica.commit_index) == replica.term
    return own_term and state.node.applied_index >= replica.commit_index


def version_age(state: RegistryState) -> float | None:
    """Return how many seconds old the knowledge of the newest version is, or None without any.

    A box that has not applied the version that the leader named knows it only from hearsay.
    """
    if is_up_to_date_leader(state):
        return 0.0
    freshness = state.freshness
    if state.node.state.published.version < freshness.version:
        return None
    age = anyio.current_time() - freshness.as_of
    return age if age < float("inf") else None


def handle_version_query(state: RegistryState, link: Link, query: VersionQuery) -> None:
    """Answer a box that asks which version is the newest."""
    from_control = link.peer is not None and link.peer.role.value == "control"
    age = version_age(state)
    if from_control and age != 0.0:
        # Control boxes believe the leader only, or two of them could refresh each other for ever.
        age = None
    elif age is None:
        state.pending_queries[id(link)] = query
    reply = VersionReply(
        call=query.call,
        version=state.node.state.published.version,
        age=age,
        entries=count_entries(state),
    )
    link.post(reply)


def handle_version_reply(state: RegistryState, reply: VersionReply) -> None:
    """Note an answer of another control box; only the leader's carries an age and counts."""
    handle_reply(state.freshness, reply.call, reply.version, reply.age)


def query_leader(state: RegistryState) -> None:
    """Ask the leader which version is the newest, if it is known and reachable."""
    link = state.peers.links.get(state.node.leader_box)
    if link is not None:
        link.post(VersionQuery(call=open_query(state.freshness, anyio.current_time())))


async def poll_leader(state: RegistryState) -> None:
    """Ask the leader now and then, for ever, so that entry boxes can be answered at once.

    Those that asked while this box was sure of nothing are answered as soon as it is. Waiting for
    their next question, and for the own one, took 0.2 to 0.6 s of the 2.5 s without service after
    all boxes had lost their power.
    """
    while True:
        if not state.node.replica.is_leader:
            query_leader(state)
        age = version_age(state)
        if age is not None:
            answer_pending_queries(state)
        is_sure = age is not None and age <= STALE_AFTER_SECONDS
        await anyio.sleep(VERSION_POLL_SECONDS if is_sure else STALE_POLL_SECONDS)


def answer_pending_queries(state: RegistryState) -> None:
    """Answer the entry boxes that asked while this box was sure of nothing."""
    open_questions, state.pending_queries = state.pending_queries, {}
    for number, query in open_questions.items():
        link = state.entry_links.get(number)
        if link is not None:
            handle_version_query(state, link, query)


async def wait_until_fresh(state: RegistryState, since: float, seconds: float) -> bool:
    """Wait until the newest version is known as of a moment after `since`.

    Args:
        state: The process's state.
        since: Own monotonic time, at which a reader asked.
        seconds: Longest time to wait.

    Returns:
        False if no leader confirmed it in time.
    """
    query_leader(state)
    with anyio.move_on_after(seconds):
        while True:
            age = version_age(state)
            if age is not None and anyio.current_time() - age >= since:
                return True
            await anyio.sleep(READ_POLL_SECONDS)
    return False


async def publish(
    state: RegistryState, version: int, body: bytes
) -> Result[PublishResult, Problem]:
    """Commit a document through the leader, wherever it is.

    Args:
        state: The process's state.
        version: Version of the document.
        body: The document as it was sent.

    Returns:
        What the state machine said. A problem says that the outcome is not known; publishing the
        same document again does no harm.
    """
    command = PublishCommand(version=version, body=zlib.compress(body), time_ms=wall_clock_ms())
    deadline = anyio.current_time() + PUBLISH_TIMEOUT_SECONDS
    while anyio.current_time() < deadline:
        if state.node.replica.is_leader:
            outcome = await submit(state.node, command)
            if isinstance(outcome, Success):
                result = outcome.unwrap()
                assert isinstance(result, PublishResult)
                return Success(result)
        else:
            passed = await _forward_to_leader(state, command, deadline)
            if passed is not None:
                return Success(passed)
        await anyio.sleep(LEADER_POLL_SECONDS)
    return Failure(Problem(code=ResultCode.NO_QUORUM, detail="not confirmed", retry_after=0.5))


async def _forward_to_leader(
    state: RegistryState, command: PublishCommand, deadline: float
) -> PublishResult | None:
    """Have the leader commit a publication.

    Returns:
        What it said; None if no leader is known, if it did not confirm in time, or if another one
        is known by then: the document is then passed on to that one, and counts once.
    """
    leader = state.node.leader_box
    link = state.peers.links.get(leader)
    if link is None:
        return None
    call, waiter = state.next_call, CommandWaiter()
    state.next_call += 1
    state.waiters[call] = waiter
    link.post(CommandRequest(call=call, command=command))
    try:
        while anyio.current_time() < deadline and state.node.leader_box == leader:
            with anyio.move_on_after(LEADER_POLL_SECONDS):
                await waiter.done.wait()
                break
    finally:
        state.waiters.pop(call, None)
    reply = waiter.reply
    if reply is None or not isinstance(reply.result, PublishResult):
        return None
    return reply.result


async def handle_command_request(state: RegistryState, link: Link, request: CommandRequest) -> None:
    """Commit a publication that another control box passed on."""
    if not isinstance(request.command, PublishCommand):
        logger.warning("command refused", extra={"peer": link.peer_box})
        link.post(CommandReply(call=request.call, result=None, code=ResultCode.FRAME_INVALID))
        return
    outcome = await submit(state.node, request.command)
    if isinstance(outcome, Success):
        link.post(CommandReply(call=request.call, result=outcome.unwrap()))
    else:
        code = outcome.failure().code
        link.post(CommandReply(call=request.call, result=None, code=code))


def handle_command_reply(state: RegistryState, reply: CommandReply) -> None:
    """Wake whoever waits for a command that was passed on."""
    waiter = state.waiters.get(reply.call)
    if waiter is not None:
        waiter.reply = reply
        waiter.done.set()
