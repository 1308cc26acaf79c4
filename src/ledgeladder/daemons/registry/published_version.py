"""Confirms which published version is the newest, and publishes new ones, on any control box.

Only the leader knows the newest version, and only while it holds its lease. Other control boxes
poll it and count the age of its reply from the moment of their query.
"""

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
"""Interval at which a box that does not lead polls the leader for the newest version."""

STALE_POLL_SECONDS: Final = 0.05
"""Interval of the poll while the newest version is unknown, as after a start or the loss of the
leader: about one round trip between failure domains plus a sync of the leader's disk."""

STALE_AFTER_SECONDS: Final = 2.0 * VERSION_POLL_SECONDS
"""Age from which the known version counts as stale: at least one poll was not answered."""

READ_POLL_SECONDS: Final = 0.02
"""Interval at which a waiting read checks whether the newest version is confirmed."""

PUBLISH_TIMEOUT_SECONDS: Final = 3.0
"""Timeout of a publication. Below the 4 s within which the platform requires an acknowledgement,
which leaves room for a retry."""

LEADER_POLL_SECONDS: Final = 0.05
"""Interval at which a publication checks for a leader and retries."""


def is_up_to_date_leader(state: RegistryState) -> bool:
    """Return whether this box leads, holds its lease and has applied every committed entry.

    An entry of its own term must be committed, which proves that the commit index is current.
    """
    replica = state.node.replica
    if not replica.is_leader or not raft.holds_lease(replica, clock.now()):
        return False
    own_term = replica.log.term_at(replica.commit_index) == replica.term
    return own_term and state.node.applied_index >= replica.commit_index


def version_age(state: RegistryState) -> float | None:
    """Return for how long the applied version may have been outdated.

    Returns:
        Age of the last confirmation in seconds; None if there is none, or if the version that the
        leader confirmed has not been applied here yet.
    """
    if is_up_to_date_leader(state):
        return 0.0
    freshness = state.freshness
    if state.node.state.published.version < freshness.version:
        return None
    age = anyio.current_time() - freshness.as_of
    return age if age < float("inf") else None


def handle_version_query(state: RegistryState, link: Link, query: VersionQuery) -> None:
    """Reply to a box that queries the newest version.

    An entry box gets a second reply once the newest version is known here.
    """
    from_control = link.peer is not None and link.peer.role.value == "control"
    age = version_age(state)
    if from_control and age != 0.0:
        # Control boxes accept the age of the leader only: two others could otherwise confirm each
        # other indefinitely.
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
    """Apply a reply of another control box; only a reply of the leader carries an age."""
    handle_reply(state.freshness, reply.call, reply.version, reply.age)


def query_leader(state: RegistryState) -> None:
    """Query the leader for the newest version if it is known and reachable."""
    link = state.peers.links.get(state.node.leader_box)
    if link is not None:
        link.post(VersionQuery(call=open_query(state.freshness, anyio.current_time())))


async def poll_leader(state: RegistryState) -> None:
    """Poll the leader for the newest version until cancelled.

    Entry boxes can then be answered without a round trip to the leader. Queries that arrived while
    the newest version was unknown are answered as soon as it is known, which shortens the outage
    after all boxes have restarted.
    """
    while True:
        if not state.node.replica.is_leader:
            query_leader(state)
        age = version_age(state)
        if age is not None:
            answer_pending_queries(state)
        is_fresh = age is not None and age <= STALE_AFTER_SECONDS
        await anyio.sleep(VERSION_POLL_SECONDS if is_fresh else STALE_POLL_SECONDS)


def answer_pending_queries(state: RegistryState) -> None:
    """Answer the queries that arrived while the newest version was unknown."""
    queries, state.pending_queries = state.pending_queries, {}
    for link_id, query in queries.items():
        link = state.entry_links.get(link_id)
        if link is not None:
            handle_version_query(state, link, query)


async def wait_until_fresh(state: RegistryState, since: float, seconds: float) -> bool:
    """Wait until the newest version is known as of a moment after `since`.

    Args:
        state: State of the process.
        since: Monotonic time of this box at which the read arrived.
        seconds: Longest time to wait.

    Returns:
        True if the version was confirmed in time.
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
    """Commit a document through the leader, on whichever box it runs.

    Args:
        state: State of the process.
        version: Version of the document.
        body: The document as it was sent.

    Returns:
        Result of the state machine. A problem means that the outcome is unknown; publishing is
        idempotent, so the caller may retry.
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
            forwarded = await _forward_to_leader(state, command, deadline)
            if forwarded is not None:
                return Success(forwarded)
        await anyio.sleep(LEADER_POLL_SECONDS)
    return Failure(Problem(code=ResultCode.NO_QUORUM, detail="not confirmed", retry_after=0.5))


async def _forward_to_leader(
    state: RegistryState, command: PublishCommand, deadline: float
) -> PublishResult | None:
    """Forward a publication to the leader.

    Returns:
        Result of the leader; None if no leader is known, if it did not confirm in time, or if
        another leader is known by then. The publication may then be forwarded again, since it
        is idempotent.
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
    """Commit a publication that another control box forwarded, and reply with the result."""
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
    """Store the reply to a forwarded command and wake the task that waits for it."""
    waiter = state.waiters.get(reply.call)
    if waiter is not None:
        waiter.reply = reply
        waiter.done.set()
